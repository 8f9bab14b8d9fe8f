#include "sycamore/accounts/quota_share.h"

#include <algorithm>

namespace sycamore::accounts {

using base::Millis;

// Time from a request until other gateways count it: a gateway tells its hub, which tells the hub
// of another region, which tells its gateways.
static constexpr Millis kReportDelay{ 130 };
// Time from a request until other gateways act on it: as above, and the interval of reports.
static constexpr Millis kHearingInterval{ 250 };
// The demand of others is assumed to grow on for this time at most after it was heard.
static constexpr Millis kMaxExtrapolation{ 1000 };
// Part of the limit that gateways use together which are cut off from the others, or have not heard
// of them yet.
static constexpr double kCutOffPart = 0.5;

QuotaRoom
RoomFor(const RequestLimit& aLimit, const QuotaRules& aRules)
{
  const double seconds = std::chrono::duration<double>(aRules.mWindow).count();
  const double reserve = aRules.mSlack / 2;
  return { aLimit.mPerSecond * seconds + aLimit.mBurst + aRules.mSlack - reserve, reserve };
}

double
OwnShare(const QuotaRoom& aRoom, const AccountDemand& aDemand)
{
  const double own = aDemand.mOwn.mDemand;
  if (!aDemand.mHeard) {
    // Each of the others is taken to have as much.
    const auto gateways = static_cast<double>(std::max<size_t>(aDemand.mGateways, 1));
    return std::min(own, aRoom.mGranted * kCutOffPart / gateways);
  }
  // Processes that have ended may have used up what is not known of the window.
  const double granted = aRoom.mGranted * std::clamp(aDemand.mKnownPart, 0.0, 1.0);
  const auto ahead = std::min(aDemand.mAge + kReportDelay, kMaxExtrapolation);
  const double expected = aDemand.mOthersPerSecond * std::chrono::duration<double>(ahead).count();
  const double others = aDemand.mOthers.mDemand + std::max(expected - aRoom.mReserve, 0.0);
  const double total = own + others;
  if (aDemand.mAge > kReportLifetime) {
    const double alone = aRoom.mGranted * kCutOffPart;
    return total <= alone ? own : alone * own / total;
  }
  if (total <= granted) {
    return own;
  }
  const double before = aDemand.mOwnAtHearing.mAdmitted;
  const double left = granted - aDemand.mOthers.mAdmitted - before;
  // Requests until the next hearing, at the mean rate of the window.
  const double part = std::chrono::duration<double>(kHearingInterval) / aDemand.mWindow;
  const double arrived = own - std::min<double>(own, aDemand.mOwnAtHearing.mDemand);
  const bool current = aDemand.mAge <= 2 * kHearingInterval;
  const double ownNext = current ? std::max(own * part, arrived) : own * part;
  return before + left * ownNext / (ownNext + others * part);
}

}

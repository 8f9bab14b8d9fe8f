#include "sycamore/accounts/account_usage.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>

namespace sycamore::accounts {

using base::Millis;
using base::TimePoint;

// Part of a quota that programs may begin in. The rest is for the requests of programs that have
// begun: one that is refused in its middle has used up quota in vain.
static constexpr double kPartForBeginnings = 0.85;

AccountUsage::AccountUsage(const QuotaRules& aRules, std::string_view aInstance)
  : mRules(aRules)
  , mInstance(base::StableHash(aInstance))
{
}

Usage
AccountUsage::OwnUsage(State& aState, TimePoint aNow) const
{
  return { aState.mDemand.Sum(aNow, mRules.mWindow), aState.mAdmitted.Sum(aNow, mRules.mWindow) };
}

AccountDemand
AccountUsage::DemandOf(State& aState, TimePoint aNow) const
{
  AccountDemand demand;
  demand.mOwn = OwnUsage(aState, aNow);
  demand.mOwnAtHearing = aState.mOwnAtHearing;
  demand.mWindow = mRules.mWindow;
  demand.mOthers = aState.mOthers;
  demand.mOthersPerSecond = aState.mOthersPerSecond;
  demand.mHeard = mHeardAt != TimePoint();
  demand.mAge = std::chrono::duration_cast<Millis>(aNow - mHeardAt);
  demand.mGateways = mGateways;
  if (demand.mHeard) {
    demand.mKnownPart = std::chrono::duration<double>(aNow - mKnownSince) / mRules.mWindow;
  }
  return demand;
}

// Shares are fractions of requests: all gateways together would let through far too much if each
// rounded up, and far too little if each rounded down. A gateway keeps to one side for a window.
double
AccountUsage::RoundingOf(uint64_t aAccount, TimePoint aNow) const
{
  const auto window = static_cast<uint64_t>(
    std::chrono::duration_cast<Millis>(aNow.time_since_epoch()) / mRules.mWindow);
  const uint64_t hash = base::MixHash(base::MixHash(mInstance, aAccount), window);
  return std::ldexp(static_cast<double>(hash), -64);
}

QuotaVerdict
AccountUsage::Admit(const Account& aAccount, TimePoint aNow, bool aBegins)
{
  QuotaVerdict verdict;
  if (aAccount.mLimit.mPerSecond <= 0) {
    return verdict;
  }
  State& state = mStates[aAccount.mId];
  QuotaRoom room = RoomFor(aAccount.mLimit, mRules);
  state.mLimit = room.mGranted;
  if (aBegins) {
    room.mGranted *= kPartForBeginnings;
  }
  state.mDemand.Add(1, aNow, mRules.mWindow);
  verdict.mLimit = state.mLimit;
  verdict.mOthers = state.mOthers.mDemand;
  verdict.mAdmitted = state.mAdmitted.Sum(aNow, mRules.mWindow);
  verdict.mShare = OwnShare(room, DemandOf(state, aNow));
  verdict.mAllowed = verdict.mAdmitted + RoundingOf(aAccount.mId, aNow) < verdict.mShare;
  if (verdict.mAllowed) {
    state.mAdmitted.Add(1, aNow, mRules.mWindow);
    return verdict;
  }
  const double beyond = verdict.mAdmitted + 1 - verdict.mShare;
  const auto tooMany = static_cast<uint32_t>(std::max(std::ceil(beyond), 1.0));
  verdict.mRetryAfter = state.mAdmitted.UntilGone(tooMany, aNow, mRules.mWindow);
  return verdict;
}

void
AccountUsage::Return(uint64_t aAccount, TimePoint aAdmittedAt, TimePoint aNow)
{
  const auto entry = mStates.find(aAccount);
  if (entry != mStates.end()) {
    entry->second.mAdmitted.Remove(aAdmittedAt, aNow, mRules.mWindow);
    entry->second.mDemand.Remove(aAdmittedAt, aNow, mRules.mWindow);
  }
}

UsageRows
AccountUsage::Report(bool aAll, TimePoint aNow)
{
  UsageRows rows;
  for (auto& [account, state] : mStates) {
    const Usage usage = OwnUsage(state, aNow);
    if (aAll ? usage != Usage{} : usage != state.mReported) {
      rows.push_back({ account, usage });
    }
  }
  return rows;
}

void
AccountUsage::MarkReported(const UsageRows& aRows)
{
  for (const UsageRow& row : aRows) {
    const auto entry = mStates.find(row.mAccount);
    if (entry != mStates.end()) {
      entry->second.mReported = row.mUsage;
    }
  }
}

void
AccountUsage::HearOthers(const UsageRows& aRows, Millis aKnowledgeAge, TimePoint aNow)
{
  mHeardAt = aNow;
  mKnownSince = aNow - aKnowledgeAge;
  std::unordered_set<uint64_t> told;
  for (const UsageRow& row : aRows) {
    // Those of accounts without requests here are kept for the first one.
    Hear(mStates[row.mAccount], row.mUsage, aNow);
    told.insert(row.mAccount);
  }
  for (auto& [account, state] : mStates) {
    if (!told.contains(account)) {
      Hear(state, {}, aNow);
    }
  }
}

void
AccountUsage::Hear(State& aState, const Usage& aOthers, TimePoint aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aState.mHeardAt).count();
  const bool known = aState.mHeardAt != TimePoint() && seconds > 0;
  const double grown = static_cast<double>(aOthers.mDemand) - aState.mOthers.mDemand;
  // Reports come in steps: the mean of two tells the trend better than the last one.
  const double perSecond = known ? std::max(grown, 0.0) / seconds : 0;
  aState.mOthersPerSecond = (aState.mOthersPerSecond + perSecond) / 2;
  aState.mOthers = aOthers;
  aState.mOwnAtHearing = OwnUsage(aState, aNow);
  aState.mHeardAt = aNow;
}

bool
AccountUsage::IsNearLimit(double aPart, TimePoint aNow)
{
  return std::any_of(mStates.begin(), mStates.end(), [&](auto& aEntry) {
    State& state = aEntry.second;
    const double total = state.mDemand.Sum(aNow, mRules.mWindow) + state.mOthers.mDemand;
    return state.mLimit > 0 && total > state.mLimit * aPart;
  });
}

void
AccountUsage::Expire(TimePoint aNow)
{
  for (auto entry = mStates.begin(); entry != mStates.end();) {
    State& state = entry->second;
    const bool heardRecently = state.mOthers != Usage{} && aNow - state.mHeardAt <= kReportLifetime;
    const bool used = OwnUsage(state, aNow) != Usage{} || state.mReported != Usage{};
    entry = used || heardRecently ? std::next(entry) : mStates.erase(entry);
  }
}

}

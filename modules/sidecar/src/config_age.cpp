#include "sycamore/sidecar/config_age.h"

#include <algorithm>

namespace sycamore::sidecar {

using base::Millis;
using base::TimePoint;

// Upper limit of ages, which keeps sums of ages far from overflow.
static constexpr Millis kLongestAge = std::chrono::hours(24 * 365);

ConfigAge::ConfigAge(const ConfigAgeLimits& aLimits)
  : mLimits(aLimits)
{
}

bool
ConfigAge::IsNewer(uint64_t aVersion) const
{
  return aVersion > mVersion;
}

void
ConfigAge::EntryReported(uint64_t aVersion, Millis aAge, TimePoint aNow)
{
  if (aVersion > mVersion || aAge < Millis(0)) {
    return;
  }
  mLastContactAt = aNow;
  if (aVersion < mVersion) {
    return;
  }
  const TimePoint confirmed = aNow - std::min(aAge, kLongestAge);
  mConfirmedAt = std::max(mConfirmedAt.value_or(confirmed), confirmed);
}

void
ConfigAge::Adopted(uint64_t aVersion, Millis aAge, TimePoint aNow)
{
  if (IsNewer(aVersion)) {
    mVersion = aVersion;
    mConfirmedAt.reset();
  }
  EntryReported(aVersion, aAge, aNow);
}

uint64_t
ConfigAge::Version() const
{
  return mVersion;
}

Millis
ConfigAge::Age(TimePoint aNow) const
{
  if (!mConfirmedAt) {
    return kLongestAge;
  }
  return std::min(kLongestAge, std::chrono::duration_cast<Millis>(aNow - *mConfirmedAt));
}

bool
ConfigAge::Stale(TimePoint aNow) const
{
  return !mLastContactAt || aNow - *mLastContactAt > mLimits.mMaxContactAge ||
         Age(aNow) > mLimits.mMaxConfirmationAge;
}

}

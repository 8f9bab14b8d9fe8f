#include "sycamore/sidecar/target_health.h"

namespace sycamore::sidecar {

using base::TimePoint;

TargetHealth::TargetHealth(const TargetHealthRules& aRules)
  : mRules(aRules)
{
}

void
TargetHealth::PollSucceeded()
{
  mFailures = 0;
  mDown = false;
}

void
TargetHealth::PollFailed(TimePoint aNow)
{
  ++mFailures;
  if (mFailures >= mRules.mFailuresUntilDown && !mDown) {
    mDown = true;
    mDownSince = aNow;
  }
}

void
TargetHealth::ConnectFailed(TimePoint aNow)
{
  mDown = true;
  mDownSince = aNow;
}

void
TargetHealth::Answered()
{
  mFailures = 0;
  mDown = false;
}

bool
TargetHealth::Up(bool aPolled, TimePoint aNow) const
{
  return !mDown || (!aPolled && aNow - mDownSince >= mRules.mRetryAfter);
}

}

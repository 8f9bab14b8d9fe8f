#include "sycamore/policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace sycamore::policy {

TokenBucket::TokenBucket(double aRate, double aBurst, base::TimePoint aNow)
  : mRate(aRate)
  , mBurst(aBurst)
  , mLevel(aBurst)
  , mUpdated(aNow)
{
}

void
TokenBucket::SetLimits(double aRate, double aBurst, base::TimePoint aNow)
{
  Refill(aNow);
  mRate = aRate;
  mBurst = aBurst;
  mLevel = std::min(mLevel, mBurst);
}

bool
TokenBucket::CanTake(double aAmount, base::TimePoint aNow)
{
  Refill(aNow);
  return mRate > 0 && mLevel >= Needed(aAmount);
}

void
TokenBucket::Take(double aAmount, base::TimePoint aNow)
{
  Refill(aNow);
  mLevel -= aAmount;
}

void
TokenBucket::GiveBack(double aAmount, base::TimePoint aNow)
{
  Refill(aNow);
  mLevel = std::min(mBurst, mLevel + aAmount);
}

base::Millis
TokenBucket::WaitFor(double aAmount, base::TimePoint aNow)
{
  Refill(aNow);
  const double missing = Needed(aAmount) - mLevel;
  if (missing <= 0 && mRate > 0) {
    return base::Millis{ 0 };
  }
  if (mRate <= 0) {
    return kMaxWait;
  }
  const double wait = std::ceil(missing / mRate * 1000);
  return base::Millis{ static_cast<int64_t>(
    std::min(wait, static_cast<double>(kMaxWait.count()))) };
}

void
TokenBucket::Refill(base::TimePoint aNow)
{
  if (aNow <= mUpdated) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mUpdated).count();
  mLevel = std::min(mBurst, mLevel + seconds * mRate);
  mUpdated = aNow;
}

double
TokenBucket::Needed(double aAmount) const
{
  return std::min(aAmount, mBurst);
}

}

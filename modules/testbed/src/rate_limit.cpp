#include "sycamore/testbed/rate_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sycamore::testbed {

RateLimit::RateLimit(double aPerSecond, double aBurst)
  : mPerSecond(aPerSecond)
  , mBurst(std::max(1.0, aBurst))
  , mAvailable(mBurst)
{
}

bool
RateLimit::TryTake(base::TimePoint aNow)
{
  if (mPerSecond <= 0) {
    return true;
  }
  Refill(aNow);
  if (mAvailable < 1) {
    return false;
  }
  mAvailable -= 1;
  return true;
}

base::Millis
RateLimit::Wait(base::TimePoint aNow)
{
  if (mPerSecond <= 0) {
    return base::Millis(0);
  }
  Refill(aNow);
  const double missing = std::max(0.0, 1 - mAvailable);
  return base::Millis(static_cast<int64_t>(std::ceil(missing / mPerSecond * 1000)));
}

void
RateLimit::SetRate(double aPerSecond, double aBurst)
{
  mPerSecond = aPerSecond;
  mBurst = std::max(1.0, aBurst);
  mAvailable = std::min(mAvailable, mBurst);
}

void
RateLimit::Refill(base::TimePoint aNow)
{
  if (mRefilled == base::TimePoint{}) {
    mRefilled = aNow;
  }
  const std::chrono::duration<double> elapsed = aNow - mRefilled;
  mRefilled = aNow;
  mAvailable = std::min(mBurst, mAvailable + elapsed.count() * mPerSecond);
}

}

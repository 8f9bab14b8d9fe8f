#pragma once

#include "sycamore/base/clock.h"

namespace sycamore::testbed {

// A token bucket with time passed in. A rate of 0 means no limit.
class RateLimit
{
public:
  // aBurst is the number of events allowed at once, at least 1.
  RateLimit(double aPerSecond, double aBurst);

  // Takes one event; returns false if the limit is reached.
  bool TryTake(base::TimePoint aNow);

  // Time until the next event is allowed, rounded up to milliseconds; 0 if one is allowed now.
  base::Millis Wait(base::TimePoint aNow);

  // Changes the rate from now on.
  void SetRate(double aPerSecond, double aBurst);

private:
  void Refill(base::TimePoint aNow);

  double mPerSecond;
  double mBurst;
  double mAvailable;
  base::TimePoint mRefilled{};
};

}

#pragma once

#include "sycamore/base/clock.h"

namespace sycamore::policy {

// A token bucket. An amount larger than the burst is admitted from a full bucket and makes the
// level negative, so that a single large request is delayed rather than refused for ever.
class TokenBucket
{
public:
  // Starts full. aRate is in units per second; aBurst in units.
  TokenBucket(double aRate, double aBurst, base::TimePoint aNow);

  // Changes the limits; the level is kept within the new burst.
  void SetLimits(double aRate, double aBurst, base::TimePoint aNow);

  // Whether aAmount could be taken at aNow.
  bool CanTake(double aAmount, base::TimePoint aNow);

  // Takes aAmount unconditionally; the level may become negative.
  void Take(double aAmount, base::TimePoint aNow);

  // Returns aAmount, up to the burst.
  void GiveBack(double aAmount, base::TimePoint aNow);

  // Time until aAmount can be taken; at most kMaxWait.
  base::Millis WaitFor(double aAmount, base::TimePoint aNow);

  static constexpr base::Millis kMaxWait{ 60000 };

private:
  void Refill(base::TimePoint aNow);
  double Needed(double aAmount) const;

  double mRate;
  double mBurst;
  double mLevel;
  base::TimePoint mUpdated;
};

}

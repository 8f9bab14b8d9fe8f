#pragma once

#include "sycamore/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::policy {

// Pauses of programs between two calls, in buckets of doubling length. Old observations fade, so
// that the estimate follows the load over the day.
class PauseHistogram
{
public:
  void Add(base::Millis aPause);

  // Probability that a program that has been idle for aIdle resumes within aWithin. 1 while too few
  // pauses were observed to tell.
  double ResumeProbability(base::Millis aIdle, base::Millis aWithin) const;

private:
  static constexpr size_t kBuckets = 32;

  double LongerThan(base::Millis aPause) const;

  std::array<double, kBuckets> mCounts{};
  double mTotal = 0;
};

// Costs that decide whether a prefix is kept.
struct HoldCosts
{
  double mPrefillMsPerToken = 0.2; // Cost of computing a lost token again.
  // Cost of one cached token kept for a second, in milliseconds of prefill. Chosen so that a prefix
  // is dropped once a resumption within a 60 s lease is less likely than 5%.
  double mRentMsPerTokenSecond = 0.00017;
};

// Whether the expected benefit of keeping aTokens for another lease exceeds its cost. False if
// nothing is held.
bool
IsWorthHolding(const PauseHistogram& aPauses,
               uint64_t aTokens,
               base::Millis aIdle,
               base::Millis aLease,
               const HoldCosts& aCosts);

}

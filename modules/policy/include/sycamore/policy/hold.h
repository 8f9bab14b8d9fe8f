#pragma once

#include "sycamore/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::policy {

// Histogram of the pauses of programs between two calls, with buckets of doubling length. Old
// observations decay, so that the estimate follows the load over the day.
class PauseHistogram
{
public:
  void Add(base::Millis aPause);

  // Probability that a program that has been idle for aIdle resumes within aWithin. 1 until enough
  // pauses were observed for an estimate.
  double ResumeProbability(base::Millis aIdle, base::Millis aWithin) const;

private:
  static constexpr size_t kBuckets = 32;

  double WeightLongerThan(base::Millis aPause) const;

  std::array<double, kBuckets> mCounts{};
  double mTotal = 0;
};

// Costs that decide whether the cached prefix of an idle program is kept.
struct HoldCosts
{
  double mPrefillMsPerToken = 0.2; // Prefill time per token of a prefix that was dropped.
  // Cost of keeping one token cached for a second, in milliseconds of prefill. With this value a
  // prefix is dropped once a resumption within a 60 s lease is less likely than 5%.
  double mHoldingMsPerTokenSecond = 0.00017;
};

// Whether the expected benefit of keeping aTokens cached for another aLease exceeds the cost. False
// if aTokens is 0.
bool
IsWorthHolding(const PauseHistogram& aPauses,
               uint64_t aTokens,
               base::Millis aIdle,
               base::Millis aLease,
               const HoldCosts& aCosts);

}

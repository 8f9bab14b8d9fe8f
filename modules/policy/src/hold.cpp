#include "sycamore/policy/hold.h"

#include <algorithm>
#include <bit>

namespace sycamore::policy {

// Observations needed before the histogram yields an estimate.
static constexpr double kMinimumCount = 20;

// Total weight at which all counts are halved.
static constexpr double kDecayThreshold = 10000;

static size_t
BucketOf(base::Millis aPause)
{
  const auto count = static_cast<uint64_t>(std::max<int64_t>(0, aPause.count()));
  return std::min<size_t>(31, static_cast<size_t>(std::bit_width(count)));
}

// Shortest pause that falls into aBucket, in milliseconds.
static double
LowerBound(size_t aBucket)
{
  return aBucket == 0 ? 0.0 : static_cast<double>(uint64_t{ 1 } << (aBucket - 1));
}

void
PauseHistogram::Add(base::Millis aPause)
{
  if (mTotal >= kDecayThreshold) {
    for (double& count : mCounts) {
      count /= 2;
    }
    mTotal /= 2;
  }
  mCounts[BucketOf(aPause)] += 1;
  mTotal += 1;
}

// Weight of the observed pauses longer than aPause. Interpolates linearly within a bucket.
double
PauseHistogram::WeightLongerThan(base::Millis aPause) const
{
  const size_t bucket = BucketOf(aPause);
  double longer = 0;
  for (size_t i = bucket + 1; i < kBuckets; ++i) {
    longer += mCounts[i];
  }
  const double low = LowerBound(bucket);
  const double high = LowerBound(bucket + 1);
  const double position = static_cast<double>(std::max<int64_t>(0, aPause.count()));
  const double part = std::clamp((high - position) / std::max(1.0, high - low), 0.0, 1.0);
  return longer + part * mCounts[bucket];
}

double
PauseHistogram::ResumeProbability(base::Millis aIdle, base::Millis aWithin) const
{
  if (mTotal < kMinimumCount) {
    return 1;
  }
  // A program that never resumes adds no observation. One pseudo-count stands for these programs,
  // so that one idle for longer than every observed pause is not expected to resume.
  const double still = WeightLongerThan(aIdle) + 1;
  const double after = WeightLongerThan(aIdle + aWithin) + 1;
  return std::clamp(1 - after / still, 0.0, 1.0);
}

bool
IsWorthHolding(const PauseHistogram& aPauses,
               uint64_t aTokens,
               base::Millis aIdle,
               base::Millis aLease,
               const HoldCosts& aCosts)
{
  const auto tokens = static_cast<double>(aTokens);
  const double benefit =
    aPauses.ResumeProbability(aIdle, aLease) * tokens * aCosts.mPrefillMsPerToken;
  const double seconds = std::chrono::duration<double>(aLease).count();
  return benefit > tokens * seconds * aCosts.mHoldingMsPerTokenSecond;
}

}

#include "sycamore/policy/size_estimate.h"

#include <algorithm>

namespace sycamore::policy {

// Fewer larger programs than this give no estimate.
static constexpr size_t kMinimumLarger = 8;

void
SizeEstimate::Add(uint64_t aTokens)
{
  mSizes[mAdded % kWindowPrograms] = aTokens;
  ++mAdded;
}

size_t
SizeEstimate::Count() const
{
  return static_cast<size_t>(std::min<uint64_t>(mAdded, kWindowPrograms));
}

uint64_t
SizeEstimate::Remaining(uint64_t aAttained) const
{
  size_t larger = 0;
  uint64_t remaining = 0;
  for (size_t i = 0; i < Count(); ++i) {
    if (mSizes[i] > aAttained) {
      ++larger;
      remaining += mSizes[i] - aAttained;
    }
  }
  return larger < kMinimumLarger ? aAttained : remaining / larger;
}

}

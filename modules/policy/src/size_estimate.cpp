#include "sycamore/policy/size_estimate.h"

#include <algorithm>

namespace sycamore::policy {

// Fewer larger programs than this say nothing.
static constexpr size_t kMinimumSeen = 8;

void
SizeEstimate::Add(uint64_t aTokens)
{
  mSizes[mSeen % kRemembered] = aTokens;
  ++mSeen;
}

size_t
SizeEstimate::Count() const
{
  return static_cast<size_t>(std::min<uint64_t>(mSeen, kRemembered));
}

uint64_t
SizeEstimate::Remaining(uint64_t aAttained) const
{
  size_t larger = 0;
  uint64_t rest = 0;
  for (size_t i = 0; i < Count(); ++i) {
    if (mSizes[i] > aAttained) {
      ++larger;
      rest += mSizes[i] - aAttained;
    }
  }
  return larger < kMinimumSeen ? aAttained : rest / larger;
}

}

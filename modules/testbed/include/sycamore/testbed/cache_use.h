#pragma once

#include <cstdint>

namespace sycamore::testbed {

// What the cache has spent on one program so far.
struct CacheUse
{
  double mRunningTokenSeconds = 0; // While a request of the program ran.
  double mIdleTokenSeconds = 0;    // Between requests, up to the last reuse, eviction or release.
  double mWastedTokenSeconds = 0;  // The part of it that no later request reused.
  uint64_t mEvictedTokens = 0;     // Dropped for lack of room.
  uint64_t mReleasedTokens = 0;    // Dropped on request.
};

}

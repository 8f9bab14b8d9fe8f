#pragma once

#include <cstdint>
#include <string>

namespace sycamore::testbed {

// A change of the prefix cache, as reported by cache events.
struct CacheChange
{
  std::string mProgram;
  uint64_t mTokens = 0;
  bool mStored = false; // Otherwise evicted or released.
};

}

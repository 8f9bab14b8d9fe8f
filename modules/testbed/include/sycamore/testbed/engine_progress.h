#pragma once

#include <cstdint>

namespace sycamore::testbed {

// What the batch produced for one call since the last report.
struct EngineProgress
{
  uint64_t mId = 0;
  uint64_t mFromToken = 0; // Answer tokens [mFromToken, mToToken) are new.
  uint64_t mToToken = 0;
  uint64_t mCachedTokens = 0; // Prompt tokens that needed no computation.
  bool mDone = false;
};

}

#pragma once

#include <cstdint>

namespace sycamore::testbed {

// Work done for one program.
struct EngineProgramStats
{
  uint64_t mRuns = 0; // Calls that entered the batch.
  uint64_t mFinished = 0;
  uint64_t mCancelled = 0; // Of the calls that entered the batch.
  uint64_t mPromptTokens = 0;
  uint64_t mCachedTokens = 0;
  uint64_t mGeneratedTokens = 0;
  uint64_t mRecomputedTokens = 0; // Prefix tokens that some engine had computed before.
};

}

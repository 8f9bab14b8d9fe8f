#pragma once

#include <cstdint>

namespace sycamore::entry {

// Counters of one entry since its start, for /metrics and /dump.
struct Stats
{
  uint64_t mRequests = 0;
  uint64_t mErrors = 0; // Answers with an error body.
  uint64_t mProgramsCreated = 0;
  uint64_t mProgramsEnded = 0;
  uint64_t mCallsStarted = 0;
  uint64_t mCallsCommitted = 0;
  uint64_t mCallsRefused = 0; // By admission.
  uint64_t mRetries = 0;
  uint64_t mLookups = 0;
  uint64_t mSeals = 0;
  uint64_t mUnknownOutcomes = 0;
  uint64_t mForwards = 0;
  uint64_t mClaims = 0;
  uint64_t mPartitionsLost = 0;
  uint64_t mPromptTokens = 0;
  uint64_t mCachedTokens = 0;
  uint64_t mGeneratedTokens = 0;
  uint64_t mCrossRegionBytes = 0;
};

}

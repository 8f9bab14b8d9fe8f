#pragma once

#include <cstdint>

namespace sycamore::sidecar {

// Totals since the start of the process, and current sizes.
struct SidecarCounters
{
  uint64_t mDispatches = 0;
  uint64_t mRefused = 0;    // Dispatches answered "not run" without being queued.
  uint64_t mDuplicates = 0; // Dispatches of known calls.
  uint64_t mStarted = 0;    // Calls sent to a target.
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;  // Queued or unsent calls that ended without running.
  uint64_t mUnknown = 0; // Calls that may have run and have no answer.
  uint64_t mSealed = 0;
  uint64_t mPromptTokens = 0;
  uint64_t mCachedTokens = 0;
  uint64_t mGeneratedTokens = 0;
  uint64_t mMemoryReleases = 0; // Confirmed by an engine.
  uint64_t mHoldsExpired = 0;
  uint64_t mProgramsAdopted = 0;
  uint64_t mOrdersApplied = 0;
  uint64_t mOrdersRefused = 0;
  uint64_t mSlotsLimited = 0;
  uint64_t mQueued = 0;
  uint64_t mRunning = 0;
  uint64_t mUnackedOutcomes = 0;
  uint64_t mTrackedPrograms = 0;
};

}

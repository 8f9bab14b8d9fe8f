#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>

namespace sycamore::testbed {

// All durations and rates are in simulated time, which runs mSpeedUp times as fast as real time.
struct EngineSettings
{
  double mSpeedUp = 1;
  double mDecodeTokensPerSecond = 50; // Of a request that is alone in the batch.
  double mBatchSlowdown = 0.02;       // Longer decode step per further request in the batch.
  double mPrefillTokensPerSecond = 8000;
  uint64_t mPrefillChunkTokens = 512;  // Prompt tokens computed in one step at most.
  uint32_t mMaxBatch = 32;             // Requests running at the same time.
  uint32_t mMaxQueued = 10000;         // Further requests are refused.
  uint64_t mCacheTokens = 200000;      // Memory for running requests and kept prefixes.
  uint64_t mAnswerTokens = 0;          // Length of an answer; 0: as long as max_tokens allows.
  bool mChecksFence = true;            // Whether an old version or fence is rejected.
  base::Millis mLoadInterval{ 500 };   // Age at which the load report is taken anew.
  base::Millis mEventDelay{ 500 };     // Delay of cache events.
  double mEventGap = 0.05;             // Share of cache events that are lost.
  base::Millis mModelLoadTime{ 2000 }; // After an order that changes what is loaded.
  uint64_t mSeed = 1;                  // For the choice of lost events.
};

}

#pragma once

#include "sycamore/http/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::bench {

// What stand-in engines and tools report, summed over all that answered.
struct EngineReading
{
  size_t mAnswered = 0;   // Stand-ins read.
  size_t mUnanswered = 0; // Stand-ins that could not be read; their share is missing.
  double mPromptTokens = 0;
  double mCachedTokens = 0;
  double mRecomputedTokens = 0; // Prompt tokens that some engine had computed before.
  double mGeneratedTokens = 0;
  double mWastedTokenSeconds = 0;              // Cache kept for programs that did not reuse it.
  std::map<std::string, uint64_t> mHeldTokens; // By program, from GET /v1/cache.
  uint64_t mMaxRunsPerKey = 0;                 // Of tools: more than 1 breaks R7.
};

// Reads GET /stats of all, and GET /v1/cache of the engines.
EngineReading
ReadStandins(const std::vector<http::Endpoint>& aEngines,
             const std::vector<http::Endpoint>& aTools);

}

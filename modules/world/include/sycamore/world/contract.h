#pragma once

#include <cstdint>

namespace sycamore::world {

// What one account may use in one region of one model. Limits are totals over all entries; 0 means
// that nothing is allowed.
struct Contract
{
  double mWeight = 1;            // Share relative to other accounts; positive.
  double mRequestsPerSecond = 0; // Model and tool calls.
  double mTokensPerSecond = 0;   // Prompt and generated tokens.
  uint32_t mConcurrency = 0;     // Calls dispatched at the same time.

  bool operator==(const Contract&) const = default;
};

}

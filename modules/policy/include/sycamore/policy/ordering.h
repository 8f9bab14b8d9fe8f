#pragma once

#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace sycamore::policy {

// A call that waits for a target.
struct WaitingCall
{
  uint64_t mArrival = 0; // Increases with each arrival; unique.
  base::TimePoint mQueuedAt;
  double mWeight = 1;           // Of the account; not positive counts as 1.
  uint64_t mAttainedTokens = 0; // Service of the program so far.
  bool mPrefixLocal = false;    // The target holds a prefix of the program.
};

struct OrderingRules
{
  bool mFifo = false; // Baseline: by arrival only.
  // A waiting call gains this many tokens of precedence per second. At 10,000 a new program
  // overtakes one that has used 10,000 tokens for one second.
  double mAgingTokensPerSecond = 10000;
  // Attained service above this counts as this. With the aging rate it bounds the time that later
  // arrivals can overtake a call: 30 s.
  double mMaxAttainedTokens = 300000;
  // Scores within one step of this many tokens are ties, which prefix locality breaks.
  double mTieTokens = 500;
};

// Lower goes first. In tokens; decreases while the call waits.
double
OrderingScore(const WaitingCall& aCall, const OrderingRules& aRules, base::TimePoint aNow);

// Longest time for which later arrivals can overtake a waiting call.
base::Millis
OvertakingBound(const OrderingRules& aRules);

// Index of the call to start next; nothing if none waits.
std::optional<size_t>
PickNext(std::span<const WaitingCall> aCalls, const OrderingRules& aRules, base::TimePoint aNow);

}

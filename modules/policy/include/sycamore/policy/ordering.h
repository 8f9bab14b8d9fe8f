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
  double mWeight = 1;          // Of the account; not positive counts as 1.
  uint64_t mServiceTokens = 0; // Of the program: so far, or expected from now on.
  bool mPrefixLocal = false;   // The target holds a prefix of the program.
};

struct OrderingRules
{
  bool mFifo = false; // Baseline: by arrival only.
  // Service counts in doublings of this many tokens, so that the order does not depend on
  // the size of a site's programs.
  double mFirstLevelTokens = 500;
  // One doubling of service outweighs this much waiting time.
  base::Millis mLevelTime{ 4000 };
  // Further doublings count no more. With the level time it bounds the time that later arrivals can
  // overtake a call: 40 s.
  double mMaxLevels = 10;
  // Scores within one step of this length are ties, which prefix locality breaks.
  base::Millis mTieTime{ 200 };
};

// Lower goes first. In milliseconds; decreases while the call waits.
double
OrderingScore(const WaitingCall& aCall, const OrderingRules& aRules, base::TimePoint aNow);

// Longest time for which later arrivals can overtake a waiting call.
base::Millis
OvertakingBound(const OrderingRules& aRules);

// Index of the call to start next; nothing if none waits.
std::optional<size_t>
PickNext(std::span<const WaitingCall> aCalls, const OrderingRules& aRules, base::TimePoint aNow);

}

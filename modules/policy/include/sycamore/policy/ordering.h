#pragma once

#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace sycamore::policy {

// A call in the queue of a target.
struct WaitingCall
{
  uint64_t mArrival = 0; // Increases with each arrival; unique.
  base::TimePoint mQueuedAt;
  double mWeight = 1;          // Of the account; a value that is not positive counts as 1.
  uint64_t mServiceTokens = 0; // Of the program: attained, or expected to remain.
  bool mPrefixLocal = false;   // The target has a prefix of the program cached.
};

struct OrderingRules
{
  bool mFifo = false; // Baseline: first in, first out.
  // A call's level is log2(1 + service / this). The logarithm keeps the order independent of the
  // typical size of a site's programs.
  double mFirstLevelTokens = 500;
  // Waiting time that offsets one level, that is, one doubling of service.
  base::Millis mLevelTime{ 4000 };
  // Upper bound of the level. Its product with mLevelTime bounds the time for which later arrivals
  // can overtake a call: 40 s.
  double mMaxLevels = 10;
  // Scores are rounded down to multiples of this. Prefix locality breaks ties.
  base::Millis mTieTime{ 200 };
};

// The score of aCall in milliseconds. The call with the lowest score starts first; the score
// decreases while the call waits.
double
OrderingScore(const WaitingCall& aCall, const OrderingRules& aRules, base::TimePoint aNow);

// Upper bound of the time for which later arrivals can overtake a waiting call.
base::Millis
OvertakingBound(const OrderingRules& aRules);

// Index of the call to start next; nothing if aCalls is empty.
std::optional<size_t>
PickNext(std::span<const WaitingCall> aCalls, const OrderingRules& aRules, base::TimePoint aNow);

}

#include "sycamore/policy/ordering.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace sycamore::policy {

using base::Millis;
using base::TimePoint;

// The number of doublings of the service per account weight, at most mMaxLevels.
static double
LevelOf(const WaitingCall& aCall, const OrderingRules& aRules)
{
  const double weight = aCall.mWeight > 0 ? aCall.mWeight : 1;
  const double service = static_cast<double>(aCall.mServiceTokens) / weight;
  return std::min(std::log2(1 + service / aRules.mFirstLevelTokens), aRules.mMaxLevels);
}

double
OrderingScore(const WaitingCall& aCall, const OrderingRules& aRules, TimePoint aNow)
{
  const std::chrono::duration<double, std::milli> waited = aNow - aCall.mQueuedAt;
  const auto levelTime = static_cast<double>(aRules.mLevelTime.count());
  return LevelOf(aCall, aRules) * levelTime - waited.count();
}

Millis
OvertakingBound(const OrderingRules& aRules)
{
  const double levels = aRules.mMaxLevels * static_cast<double>(aRules.mLevelTime.count());
  return Millis(static_cast<int64_t>(std::ceil(levels))) + aRules.mTieTime;
}

static auto
OrderingKey(const WaitingCall& aCall, const OrderingRules& aRules, TimePoint aNow)
{
  const auto tie = static_cast<double>(aRules.mTieTime.count());
  const double step = aRules.mFifo ? 0 : std::floor(OrderingScore(aCall, aRules, aNow) / tie);
  const bool remote = !aRules.mFifo && !aCall.mPrefixLocal;
  return std::tuple(step, remote, aCall.mArrival);
}

std::optional<size_t>
PickNext(std::span<const WaitingCall> aCalls, const OrderingRules& aRules, TimePoint aNow)
{
  if (aCalls.empty()) {
    return std::nullopt;
  }
  const auto first =
    std::min_element(aCalls.begin(), aCalls.end(), [&](const auto& aLeft, const auto& aRight) {
      return OrderingKey(aLeft, aRules, aNow) < OrderingKey(aRight, aRules, aNow);
    });
  return static_cast<size_t>(first - aCalls.begin());
}

}

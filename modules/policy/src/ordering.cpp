#include "sycamore/policy/ordering.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace sycamore::policy {

using base::Millis;
using base::TimePoint;

static double
WeightedService(const WaitingCall& aCall, const OrderingRules& aRules)
{
  const double weight = aCall.mWeight > 0 ? aCall.mWeight : 1;
  return std::min(static_cast<double>(aCall.mAttainedTokens) / weight, aRules.mMaxAttainedTokens);
}

double
OrderingScore(const WaitingCall& aCall, const OrderingRules& aRules, TimePoint aNow)
{
  const std::chrono::duration<double> waited = aNow - aCall.mQueuedAt;
  return WeightedService(aCall, aRules) - waited.count() * aRules.mAgingTokensPerSecond;
}

Millis
OvertakingBound(const OrderingRules& aRules)
{
  const double tokens = aRules.mMaxAttainedTokens + aRules.mTieTokens;
  return Millis(static_cast<int64_t>(std::ceil(1000 * tokens / aRules.mAgingTokensPerSecond)));
}

static auto
OrderingKey(const WaitingCall& aCall, const OrderingRules& aRules, TimePoint aNow)
{
  const double step =
    aRules.mFifo ? 0 : std::floor(OrderingScore(aCall, aRules, aNow) / aRules.mTieTokens);
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

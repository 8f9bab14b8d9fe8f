#include "sycamore/policy/routing.h"

#include <algorithm>

namespace sycamore::policy {

// Work assumed for each call in addition to its reported tokens, in generated tokens. Tools report
// numbers of calls but no tokens.
static constexpr double kTokensPerCall = 50;

// Prompt tokens prefilled in the time of one generated token.
static constexpr uint64_t kPrefillSpeedup = 8;

uint64_t
DecodeEquivalent(uint64_t aMissing, uint64_t aGenerated)
{
  return aGenerated + aMissing / kPrefillSpeedup;
}

uint64_t
MissingTokens(const ReplicaView& aReplica, const RouteRequest& aRequest)
{
  return aRequest.mPromptTokens - std::min(aReplica.mCachedTokens, aRequest.mPromptTokens);
}

double
RouteScore(const ReplicaView& aReplica, const RouteRequest& aRequest, const ReplicaSpeed& aSpeed)
{
  const double reported = static_cast<double>(aReplica.mQueuedTokens) +
                          kTokensPerCall * (aReplica.mRunning + aReplica.mQueued);
  const double completed =
    aSpeed.mDecodeTokensPerMs * static_cast<double>(aReplica.mReportAge.count());
  const double sent =
    static_cast<double>(aReplica.mSentTokens) + kTokensPerCall * aReplica.mSentCalls;
  const double backlog = std::max(0.0, reported + sent - completed);
  const auto missing = static_cast<double>(MissingTokens(aReplica, aRequest));
  const double link = 2 * std::chrono::duration<double, std::milli>(aReplica.mLinkDelay).count();
  const double bytes = aReplica.mCostPerMegabyte * static_cast<double>(aRequest.mBytes) / 1e6;
  // Prefilling the missing tokens delays this call and also every call queued at the replica.
  const double delayed = 1.0 + aReplica.mQueued + aReplica.mSentCalls;
  const double prefill = delayed * missing / aSpeed.mPrefillTokensPerMs;
  return backlog / aSpeed.mDecodeTokensPerMs + prefill + link + bytes;
}

template<typename Score>
static std::optional<size_t>
ChooseLowest(const std::vector<ReplicaView>& aReplicas, size_t aStart, const Score& aScore)
{
  std::optional<size_t> best;
  double bestScore = 0;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const size_t index = (aStart + i) % aReplicas.size();
    if (!aReplicas[index].mUsable) {
      continue;
    }
    const double score = aScore(aReplicas[index]);
    if (!best || score < bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

std::optional<size_t>
ChooseByScore(const std::vector<ReplicaView>& aReplicas,
              const RouteRequest& aRequest,
              const ReplicaSpeed& aSpeed,
              size_t aStart)
{
  return ChooseLowest(aReplicas, aStart, [&](const ReplicaView& aReplica) {
    return RouteScore(aReplica, aRequest, aSpeed);
  });
}

std::optional<size_t>
ChooseByLoad(const std::vector<ReplicaView>& aReplicas, size_t aStart)
{
  return ChooseLowest(aReplicas, aStart, [](const ReplicaView& aReplica) {
    return static_cast<double>(aReplica.mRunning) + aReplica.mQueued;
  });
}

}

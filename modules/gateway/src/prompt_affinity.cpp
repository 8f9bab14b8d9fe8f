#include "prompt_affinity.h"

#include "prompt_cache.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sycamore::gateway {

static void
AssumeSharedPart(const PromptAffinity& aAffinity, std::span<ReplicaView> aReplicas)
{
  const PromptPart& first = aAffinity.mPrompt.front();
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  for (ReplicaView& replica : aReplicas) {
    const auto rank = static_cast<double>(base::MixHash(first.mId, replica.mIdHash));
    if (rank < aAffinity.mSharedShare * kHashRange) {
      replica.mKeptTokens = std::max(replica.mKeptTokens, first.mTokens);
    }
  }
}

static void
AssumeSession(const PromptAffinity& aAffinity, std::span<ReplicaView> aReplicas)
{
  const uint64_t session = base::StableHash(aAffinity.mSession);
  const uint64_t total = TotalTokens(aAffinity.mPrompt);
  const uint64_t beforeSession = total - aAffinity.mPrompt.back().mTokens;
  ReplicaView* home = nullptr;
  for (ReplicaView& replica : aReplicas) {
    if (replica.mKeptTokens > beforeSession) {
      return;
    }
    const auto rank = [&](const ReplicaView& aReplica) {
      return base::MixHash(session, aReplica.mIdHash);
    };
    if (replica.mSameRegion && (home == nullptr || rank(replica) > rank(*home))) {
      home = &replica;
    }
  }
  const uint64_t first = aAffinity.mPrompt.front().mTokens;
  if (home != nullptr && home->mKeptTokens >= first) {
    home->mKeptTokens = std::max(home->mKeptTokens, (first + total) / 2);
  }
}

void
AssumeKeptTokens(const PromptAffinity& aAffinity, std::span<ReplicaView> aReplicas)
{
  if (aAffinity.mPrompt.empty()) {
    return;
  }
  AssumeSharedPart(aAffinity, aReplicas);
  if (!aAffinity.mSession.empty()) {
    AssumeSession(aAffinity, aReplicas);
  }
}

}

#include "sycamore/gateway/replica_choice.h"

#include <algorithm>

namespace sycamore::gateway {

// Round trip between two regions, from the deployments' sheets (30 ms one way).
static constexpr base::Micros kRegionDelay{ 60000 };
// Prompt tokens that an engine reads in a millisecond, from the deployments' sheets.
static constexpr uint64_t kPrefillTokensPerMs = 64;
// A call that waits for a slot waits about half of a typical call (120 to 250 ms in the sheets).
static constexpr base::Micros kQueuedCallDelay{ 100000 };
// Slows the steps of a batch a little; spreads calls over replicas that have room.
static constexpr base::Micros kRunningCallDelay{ 1000 };
// A load report is believed fully for this long, then fades.
static constexpr base::Millis kLoadFresh{ 500 };
// After a failure the replica is avoided for a time that doubles with each further one.
static constexpr base::Millis kFirstAvoidance{ 500 };
static constexpr uint32_t kMostDoublings = 3;
static constexpr base::Micros kAvoidanceDelay{ 1000000 };

static uint32_t
BelievedLoad(const ReplicaView& aReplica)
{
  if (!aReplica.mLoad || aReplica.mLoadAge > kLoadFresh) {
    return aReplica.mInFlight;
  }
  return std::max(aReplica.mInFlight, aReplica.mLoad->mRunning + aReplica.mLoad->mWaiting);
}

static bool
IsAvoided(const ReplicaView& aReplica)
{
  if (aReplica.mRecentFailures == 0) {
    return false;
  }
  const uint32_t doublings = std::min(aReplica.mRecentFailures - 1, kMostDoublings);
  return aReplica.mSinceFailure < kFirstAvoidance * (1U << doublings);
}

base::Micros
ExpectedDelay(const ReplicaView& aReplica, uint64_t aPromptTokens)
{
  const uint32_t load = BelievedLoad(aReplica);
  base::Micros delay = load * kRunningCallDelay;
  if (load >= aReplica.mSlots) {
    delay += (load - aReplica.mSlots + 1) * kQueuedCallDelay / std::max(aReplica.mSlots / 4, 1U);
  }
  if (!aReplica.mSameRegion) {
    delay += kRegionDelay;
  }
  if (!aReplica.mHasPrefix) {
    delay += base::Micros(aPromptTokens * 1000 / kPrefillTokensPerMs);
  }
  if (IsAvoided(aReplica)) {
    delay += kAvoidanceDelay;
  }
  return delay;
}

std::optional<size_t>
ChooseReplica(std::span<const ReplicaView> aReplicas, uint64_t aPromptTokens, uint64_t aTieBreak)
{
  std::optional<size_t> best;
  base::Micros bestDelay{ 0 };
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const size_t index = (i + aTieBreak) % aReplicas.size();
    const base::Micros delay = ExpectedDelay(aReplicas[index], aPromptTokens);
    if (!best || delay < bestDelay) {
      best = index;
      bestDelay = delay;
    }
  }
  return best;
}

}

#include "sycamore/gateway/replica_choice.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sycamore::gateway {

// Round trip between two regions, from the deployments' data sheets (30 ms one way).
static constexpr base::Micros kRegionDelay{ 60000 };
// Prompt tokens that an engine prefills per millisecond, from the deployments' data sheets.
static constexpr uint64_t kPrefillTokensPerMs = 64;
// A queued call waits about half the duration of a typical call (120 to 250 ms in the data sheets).
static constexpr base::Micros kQueuedCallDelay{ 100000 };
// Each running call slows the steps of its batch slightly; also spreads calls over replicas with
// free slots.
static constexpr base::Micros kRunningCallDelay{ 4000 };
// What a call for an object takes longer at a replica that has not served it. Below the delay of a
// queued call, so that an overloaded replica loses its objects to others.
static constexpr base::Micros kColdObjectDelay{ 15000 };
// Older load reports are ignored. A process sends a replica about one call per second.
static constexpr base::Millis kLoadReportValidity{ 2000 };
// A replica is avoided for this time after a failure, doubled with each further failure.
static constexpr base::Millis kInitialAvoidance{ 500 };
static constexpr uint32_t kMaxDoublings = 3;
static constexpr base::Micros kAvoidancePenalty{ 1000000 };

namespace {

// Recent reports of the replicas of one region, each weighted by its Trust.
struct RegionReports
{
  void Add(double aUtilization, double aWeight)
  {
    mUtilization += aUtilization * aWeight;
    mWeight += aWeight;
  }

  double Mean() const { return mWeight > 0 ? mUtilization / mWeight : 0; }

  double mUtilization = 0; // Weighted sum of calls per slot.
  double mWeight = 0;
};

// A region is assumed to have this share of the mean load of all regions until its own replicas
// have reported. Less than 1, so that calls go there when the known replicas are overloaded. Counts
// like a report of this weight, so that it takes over from the last reports as they age.
constexpr double kUnknownRegionShare = 0.5;
constexpr double kUnknownRegionWeight = 1;

}

// Weight of the load report of aReplica: 1 when it arrives, falling to 0 at the end of its
// validity.
static double
Trust(const ReplicaView& aReplica)
{
  if (!aReplica.mLoad || aReplica.mLoadAge >= kLoadReportValidity) {
    return 0;
  }
  return 1 - std::chrono::duration<double>(aReplica.mLoadAge) / kLoadReportValidity;
}

static double
ReportedCalls(const ReplicaView& aReplica)
{
  return aReplica.mLoad ? aReplica.mLoad->mRunning + aReplica.mLoad->mWaiting : 0;
}

std::vector<double>
AssumedLoads(std::span<const ReplicaView> aReplicas)
{
  RegionReports all;
  std::map<std::string_view, RegionReports> regions;
  for (const ReplicaView& replica : aReplicas) {
    const double utilization = ReportedCalls(replica) / std::max(replica.mSlots, 1U);
    all.Add(utilization, Trust(replica));
    regions[replica.mRegion].Add(utilization, Trust(replica));
  }
  for (auto& [name, region] : regions) {
    region.Add(all.Mean() * kUnknownRegionShare, kUnknownRegionWeight);
  }
  std::vector<double> loads;
  loads.reserve(aReplicas.size());
  for (const ReplicaView& replica : aReplicas) {
    const double mean = regions[replica.mRegion].Mean() * replica.mSlots;
    const double trust = Trust(replica);
    // A replica that never reports would otherwise count all calls that it ever had.
    const uint32_t sent = replica.mLoad ? replica.mSentSinceReport : 0;
    const double load = trust * ReportedCalls(replica) + (1 - trust) * mean + sent;
    loads.push_back(std::max<double>(load, replica.mInFlight));
  }
  return loads;
}

static bool
IsAvoided(const ReplicaView& aReplica)
{
  if (aReplica.mRecentFailures == 0) {
    return false;
  }
  const uint32_t doublings = std::min(aReplica.mRecentFailures - 1, kMaxDoublings);
  return aReplica.mSinceFailure < kInitialAvoidance * (1U << doublings);
}

static base::Micros
Scaled(base::Micros aDelay, double aFactor)
{
  return std::chrono::duration_cast<base::Micros>(aDelay * aFactor);
}

base::Micros
ExpectedDelay(const ReplicaView& aReplica, double aAssumedLoad, uint64_t aPromptTokens)
{
  base::Micros delay = Scaled(kRunningCallDelay, aAssumedLoad);
  const double queued = aAssumedLoad - aReplica.mSlots + 1;
  if (queued > 0) {
    delay += Scaled(kQueuedCallDelay, queued / std::max(aReplica.mSlots / 4, 1U));
  }
  if (!aReplica.mSameRegion) {
    delay += kRegionDelay;
  }
  const uint64_t missing = aPromptTokens - std::min(aReplica.mKeptTokens, aPromptTokens);
  if (missing > 0) {
    // A prefill holds up the calls that run beside it too, so their delay counts as well.
    const double heldUp = std::min<double>(aAssumedLoad, aReplica.mSlots);
    delay += Scaled(base::Micros(missing * 1000 / kPrefillTokensPerMs), 1 + heldUp);
  }
  if (aReplica.mAwayFromHome) {
    delay += kColdObjectDelay;
  }
  if (IsAvoided(aReplica)) {
    delay += kAvoidancePenalty;
  }
  return delay + aReplica.mQuotaDelay;
}

std::optional<ReplicaChoice>
ChooseReplica(std::span<const ReplicaView> aReplicas, uint64_t aPromptTokens, uint64_t aTieBreak)
{
  const std::vector<double> loads = AssumedLoads(aReplicas);
  std::optional<ReplicaChoice> best;
  std::pair<base::Micros, uint64_t> bestRank;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const std::pair rank(ExpectedDelay(aReplicas[i], loads[i], aPromptTokens),
                         base::MixHash(aTieBreak, i));
    if (!best || rank < bestRank) {
      best = ReplicaChoice{ i, loads[i] };
      bestRank = rank;
    }
  }
  return best;
}

}

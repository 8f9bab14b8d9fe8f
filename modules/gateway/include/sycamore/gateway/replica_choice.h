#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/header_codec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sycamore::gateway {

// Inputs of the routing decision for one replica.
struct ReplicaView
{
  uint32_t mSlots = 1;
  uint32_t mInFlight = 0; // Calls in flight from this process.
  std::optional<ReportedLoad> mLoad;
  base::Millis mLoadAge{ 0 };
  uint32_t mSentSinceReport = 0;   // Calls that this process sent after mLoad arrived.
  std::string_view mRegion;        // Of its failure domain; empty if unknown.
  bool mSameRegion = true;         // As this process.
  uint64_t mIdHash = 0;            // Of its id; the same at all gateways.
  bool mAwayFromHome = false;      // Another replica is the home of the call's object.
  uint64_t mKeptTokens = 0;        // Of the prompt, which its cache is assumed to hold.
  uint32_t mRecentFailures = 0;    // Consecutive failures of this process's calls.
  base::Millis mSinceFailure{ 0 }; // Since the last of them.
  base::Millis mQuotaDelay{ 0 };   // Until its request limit allows another call.
};

// The replica that a call goes to.
struct ReplicaChoice
{
  size_t mIndex = 0;
  double mAssumedLoad = 0; // Calls that are assumed to run or wait there.
};

// The number of calls that are assumed to run or wait at each replica of aReplicas. One process
// hears of a replica only when it sends a call there, so the report of a replica counts less as it
// ages, and the mean of its region's recent reports takes its place. A region without recent
// reports is assumed to have less load than the others, so that calls go there and bring one back.
std::vector<double>
AssumedLoads(std::span<const ReplicaView> aReplicas);

// Expected delay of a call of aPromptTokens at aReplica beyond its own work, for comparison with
// other replicas. aAssumedLoad is its entry of AssumedLoads.
base::Micros
ExpectedDelay(const ReplicaView& aReplica, double aAssumedLoad, uint64_t aPromptTokens);

// The replica with the least expected delay, or nothing if aReplicas is empty. aTieBreak spreads
// the calls of several processes over equal replicas.
std::optional<ReplicaChoice>
ChooseReplica(std::span<const ReplicaView> aReplicas, uint64_t aPromptTokens, uint64_t aTieBreak);

}

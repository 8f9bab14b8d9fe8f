#pragma once

#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore::policy {

// The load and cache of one replica, as known when a call is routed.
struct ReplicaView
{
  bool mUsable = true; // Up, connected and not leaving.
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint64_t mQueuedTokens = 0;   // DecodeEquivalent of the queued calls.
  base::Millis mReportAge{ 0 }; // Age of the load report that gave the three values above.
  uint64_t mSentTokens = 0;     // DecodeEquivalent of the calls sent since that report.
  uint32_t mSentCalls = 0;
  uint64_t mCachedTokens = 0; // Tokens of the program's prompt known to be cached here.
  base::Micros mLinkDelay{ 0 };
  double mCostPerMegabyte = 0; // Cost of cross-region traffic, in milliseconds of delay per MB.
};

// The call to be routed.
struct RouteRequest
{
  uint64_t mPromptTokens = 0;
  uint64_t mMaxTokens = 0;
  uint64_t mBytes = 0;
};

// Speeds assumed for every replica of a service: a decode rate of 1,000,000 tokens per second over
// 800 replicas, and a prefill rate eight times as high.
struct ReplicaSpeed
{
  double mPrefillTokensPerMs = 10;
  double mDecodeTokensPerMs = 1.25;
};

// The work of a call in units of one generated token. aMissing is the number of prompt tokens that
// are not cached and need prefill.
uint64_t
DecodeEquivalent(uint64_t aMissing, uint64_t aGenerated);

// Number of prompt tokens of aRequest that aReplica has not cached.
uint64_t
MissingTokens(const ReplicaView& aReplica, const RouteRequest& aRequest);

// Expected delay of aRequest on aReplica in milliseconds, plus the cost of its cross-region
// traffic. Lower is better.
double
RouteScore(const ReplicaView& aReplica, const RouteRequest& aRequest, const ReplicaSpeed& aSpeed);

// Index of the usable replica with the lowest score; nothing if none is usable. Of equal scores,
// the first from index aStart on (modulo the number of replicas) wins.
std::optional<size_t>
ChooseByScore(const std::vector<ReplicaView>& aReplicas,
              const RouteRequest& aRequest,
              const ReplicaSpeed& aSpeed,
              size_t aStart);

// Baseline: index of the usable replica with the fewest running and queued calls.
std::optional<size_t>
ChooseByLoad(const std::vector<ReplicaView>& aReplicas, size_t aStart);

}

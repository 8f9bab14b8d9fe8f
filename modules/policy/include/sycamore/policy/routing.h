#pragma once

#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore::policy {

// What is known of one replica when a call is routed.
struct ReplicaView
{
  bool mUsable = true; // Up, connected and not leaving.
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint64_t mQueuedTokens = 0;   // Decode equivalents of the queued calls.
  base::Millis mReportAge{ 0 }; // Age of the three figures above.
  uint64_t mSentTokens = 0;     // Decode equivalents of the calls sent since that report.
  uint32_t mSentCalls = 0;
  uint64_t mCachedTokens = 0; // Of the program's prompt, as far as known.
  base::Micros mLinkDelay{ 0 };
  double mCostPerMegabyte = 0; // Milliseconds of latency that a cross-region megabyte is worth.
};

// The call to be routed.
struct RouteRequest
{
  uint64_t mPromptTokens = 0;
  uint64_t mMaxTokens = 0;
  uint64_t mBytes = 0;
};

// Speeds assumed for all replicas of a service: 1,000,000 generated tokens a second over 800
// replicas, and prompts computed eight times as fast.
struct ReplicaSpeed
{
  double mPrefillTokensPerMs = 10;
  double mDecodeTokensPerMs = 1.25;
};

// Work of a call in units of one generated token. aMissing are prompt tokens that the replica has
// to compute.
uint64_t
DecodeEquivalent(uint64_t aMissing, uint64_t aGenerated);

// Prompt tokens of aRequest that aReplica does not hold.
uint64_t
MissingTokens(const ReplicaView& aReplica, const RouteRequest& aRequest);

// Expected delay of the call on aReplica in milliseconds; the lower the better.
double
RouteScore(const ReplicaView& aReplica, const RouteRequest& aRequest, const ReplicaSpeed& aSpeed);

// Index of the usable replica with the lowest score; nothing if none is usable. aStart rotates
// ties.
std::optional<size_t>
ChooseByScore(const std::vector<ReplicaView>& aReplicas,
              const RouteRequest& aRequest,
              const ReplicaSpeed& aSpeed,
              size_t aStart);

// Baseline: index of the usable replica with the least reported load.
std::optional<size_t>
ChooseByLoad(const std::vector<ReplicaView>& aReplicas, size_t aStart);

}

#pragma once

#include "sycamore/gateway/prompt_part.h"
#include "sycamore/gateway/replica_choice.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace sycamore::gateway {

// What ties a call to replicas beyond what this process has sent to them.
struct PromptAffinity
{
  std::span<const PromptPart> mPrompt;
  std::string_view mSession; // Of a line of turns; empty if unknown, or if its replica is known.
  double mSharedShare = 1;   // Share of the replicas that keep the first part of the prompt.
};

// Raises mKeptTokens of aReplicas to what they are assumed to keep although this process did not
// send it there. The first part of the prompt is kept by the replicas that its hash selects. The
// session belongs to the one replica of the region that its hash selects, unless one is known to
// keep some of it; that replica is assumed to keep half of its history. All gateways select the
// same, so that a line of turns that comes in through several of them stays at one replica.
void
AssumeKeptTokens(const PromptAffinity& aAffinity, std::span<ReplicaView> aReplicas);

}

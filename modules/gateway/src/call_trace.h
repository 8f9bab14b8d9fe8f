#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/header_codec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::gateway {

// The replica that a call was sent to last, with the load that the choice was based on.
struct ReplicaTrace
{
  std::string mId;
  std::string mDomain;
  double mAssumedLoad = 0; // Running and waiting calls.
  uint32_t mSlots = 0;
  uint64_t mKeptTokens = 0; // Of the prompt, which its cache was assumed to hold.
  uint64_t mPromptTokens = 0;
  std::optional<ReportedLoad> mReported; // With the answer.
};

// Stages of a call, for its log line. A stage is nothing until it has ended.
struct CallTrace
{
  std::optional<base::Millis> mHistory;     // Chain found and texts read.
  std::optional<base::Millis> mReservation; // Budget reserved, in parallel with the replica's work.
  std::optional<base::Millis> mFirstEvent;  // From the arrival to the first event sent.
  std::optional<base::Millis> mReplica;     // All sends to replicas together.
  std::optional<base::Millis> mCommit;      // Turn and texts recorded.
  std::optional<ReplicaTrace> mLastReplica;
};

// The stages that have ended as "key=value " pairs; empty if there are none.
std::string
TraceText(const CallTrace& aTrace);

}

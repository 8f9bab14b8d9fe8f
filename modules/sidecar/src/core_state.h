#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/peer_table.h"
#include "sycamore/sidecar/sidecar_counters.h"
#include "sycamore/sidecar/sidecar_output.h"
#include "sycamore/sidecar/target_health.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamore::sidecar {

enum class RequestPurpose : uint8_t
{
  Call,
  Load,
  CacheList,
  MemoryRelease,
  OrderRead,
  OrderSend,
  Slot,
};

// A request that was started and whose result was not reported yet.
struct PendingRequest
{
  RequestPurpose mPurpose = RequestPurpose::Call;
  size_t mTarget = 0;
  uint64_t mCall = 0;       // For Call: number of the call in CallRunner.
  base::ProgramId mProgram; // For MemoryRelease.
  base::TimePoint mRequestedAt;
};

// One target as the core sees it.
struct TargetState
{
  settings::TargetSettings mSettings;
  TargetHealth mHealth{ TargetHealthRules{} };
  wire::TargetLoadT mReported; // From the last poll; without the calls queued in this sidecar.
  std::optional<base::TimePoint> mReportedAt;
  bool mPolling = false;
  uint32_t mRunning = 0; // Calls sent to the target and not reported yet.
  uint64_t mFence = 0;   // Highest order version known.

  bool IsEngine() const { return mSettings.mTarget.mKind == world::TargetKind::Engine; }
};

// State shared by the components of the core.
struct CoreState
{
  const settings::Settings& mSettings;
  uint64_t mIncarnation;
  SidecarOutput& mOutput;
  PeerTable mPeers;
  std::vector<TargetState> mTargets;
  std::map<uint64_t, PendingRequest> mPendingRequests;
  uint64_t mNextRequestId = 1;
  SidecarCounters mCounters;

  // Sends a frame on the newest link of an entry; false if there is none or its queue is full.
  bool SendTo(uint64_t aPeer, const wire::FrameT& aFrame)
  {
    const auto link = mPeers.NewestLink(aPeer);
    return link && mOutput.SendFrame(*link, aFrame);
  }

  // Starts a request and records its purpose.
  uint64_t Start(const PendingRequest& aPending, TargetRequest aRequest)
  {
    const uint64_t number = mNextRequestId++;
    mPendingRequests.emplace(number, aPending);
    aRequest.mRequestId = number;
    aRequest.mTarget = aPending.mTarget;
    mOutput.StartRequest(std::move(aRequest));
    return number;
  }
};

}

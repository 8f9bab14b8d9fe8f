#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/transport/peer_event.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamore::sidecar {

// An HTTP request to a target. Its result is reported exactly once, by SidecarCore::OnDone or
// OnFailed.
struct TargetRequest
{
  uint64_t mRequestId = 0;
  size_t mTarget = 0; // Index in the settings.
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  bool mStream = false; // Report parts of the body by OnData as they arrive.
  base::Millis mDeadline{ 0 };
};

// A request to the weight store for a slot, the permission to load weights.
struct SlotRequest
{
  uint64_t mRequestId = 0;
  std::string mModel;
  std::string mVersion;
};

// The interface through which SidecarCore performs its effects.
class SidecarOutput
{
public:
  virtual ~SidecarOutput() = default;

  // Returns false if the link is closed or its queue is full.
  virtual bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) = 0;

  virtual void StartRequest(TargetRequest aRequest) = 0;

  // A cancelled request is still reported exactly once.
  virtual void CancelRequest(uint64_t aRequestId) = 0;

  virtual void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) = 0;

  // Answered by SidecarCore::OnSlot.
  virtual void RequestSlot(const SlotRequest& aRequest) = 0;
};

}

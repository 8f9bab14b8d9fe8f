#pragma once

#include "sycamore/http/client.h"
#include "sycamore/sidecar/memory_tracker.h"

#include "core_state.h"

namespace sycamore::sidecar {

// Connects the memory tracker to peers and engines.
class MemoryRunner
{
public:
  explicit MemoryRunner(CoreState& aState);

  void OnHold(const wire::HoldT& aHold, base::TimePoint aNow);
  void OnRelease(transport::LinkId aLink, const wire::ReleaseT& aRelease, base::TimePoint aNow);
  void OnTick(base::TimePoint aNow);
  void OnDone(const PendingRequest& aPending,
              const http::ClientResponse& aResponse,
              base::TimePoint aNow);
  void OnFailed(const PendingRequest& aPending, base::TimePoint aNow);

  MemoryTracker& Tracker();
  const MemoryTracker& Tracker() const;

private:
  void RequestLists(base::TimePoint aNow);
  void SendRelease(const MemoryActions::Release& aRelease, base::TimePoint aNow);
  void SendEviction(const MemoryActions::Release& aEvicted);

  CoreState& mState;
  MemoryTracker mTracker;
  std::vector<base::TimePoint> mNextList; // By target; TimePoint::max() while a list is requested.
  base::TimePoint mNextPoll;
};

}

#pragma once

#include "core_state.h"

#include "sycamore/http/client.h"

namespace sycamore::sidecar {

// Polls the load of each engine and stores the last result in its TargetState.
class LoadPoller
{
public:
  explicit LoadPoller(CoreState& aState);

  // Starts the polls that are due.
  void OnTick(base::TimePoint aNow);
  void OnDone(const PendingRequest& aPending,
              const http::ClientResponse& aResponse,
              base::TimePoint aNow);
  void OnFailed(const PendingRequest& aPending, base::TimePoint aNow);

private:
  CoreState& mState;
  std::vector<base::TimePoint> mNextPoll; // By target.
};

}

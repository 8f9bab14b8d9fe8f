#pragma once

#include "sycamore/http/async_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/sidecar_output.h"

#include "event_queue.h"

#include <unordered_map>

namespace sycamore::sidecar {

// Runs the requests to the targets. Used by the core thread only; results are pushed to the queue.
class TargetIo
{
public:
  TargetIo(const settings::Settings& aSettings, EventQueue& aQueue);

  void Start(TargetRequest aRequest);
  void Cancel(uint64_t aRequestId);

  // Removes a request whose result was taken from the queue.
  void Forget(uint64_t aRequestId);

  // Aborts all requests without reporting them. Idempotent.
  void Stop();

private:
  const settings::Settings& mSettings;
  EventQueue& mQueue;
  std::unordered_map<uint64_t, uint64_t> mClientIds; // HTTP client ids, by request id.
  http::AsyncClient mClient;
};

}

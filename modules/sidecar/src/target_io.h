#pragma once

#include "sycamore/http/async_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/sidecar_output.h"

#include "event_queue.h"

#include <unordered_map>

namespace sycamore::sidecar {

// Requests to the targets. Used by the core thread only; reports arrive in the queue.
class TargetIo
{
public:
  TargetIo(const settings::Settings& aSettings, EventQueue& aQueue);

  void Start(TargetRequest aRequest);
  void Cancel(uint64_t aRequestId);

  // The request of aRequestId was reported.
  void Forget(uint64_t aRequestId);

  // Ends all requests without reports. Idempotent.
  void Stop();

private:
  const settings::Settings& mSettings;
  EventQueue& mQueue;
  std::unordered_map<uint64_t, uint64_t> mClientIds; // Of the client, by ticket.
  http::AsyncClient mClient;
};

}

#pragma once

#include "sycamore/base/ring.h"
#include "sycamore/platform/weight_store_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/sidecar_output.h"

#include "event_queue.h"

#include <memory>
#include <thread>

namespace sycamore::sidecar {

// Requests slots from the weight store, one at a time, on its own thread.
class SlotWorker
{
public:
  SlotWorker(const settings::Settings& aSettings, EventQueue& aQueue);
  ~SlotWorker();
  SlotWorker(const SlotWorker&) = delete;
  SlotWorker& operator=(const SlotWorker&) = delete;

  // Answered by a SlotAnswer event.
  void Request(const SlotRequest& aRequest);

  // Waits for the request in progress, which has a time limit, and ends the thread. Idempotent.
  void Stop();

private:
  void Run();
  SlotAnswer AcquireSlot(const SlotRequest& aRequest);

  const settings::Settings& mSettings;
  EventQueue& mQueue;
  base::Ring<SlotRequest> mRequests;
  std::unique_ptr<platform::WeightStoreClient> mStore; // Null without a weight store.
  std::thread mThread;
};

}

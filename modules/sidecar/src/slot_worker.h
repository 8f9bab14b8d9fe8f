#pragma once

#include "sycamore/base/ring.h"
#include "sycamore/platform/weight_store_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/sidecar_output.h"

#include "event_queue.h"

#include <memory>
#include <thread>

namespace sycamore::sidecar {

// Asks the weight store for slots, one at a time, on a thread of its own.
class SlotWorker
{
public:
  SlotWorker(const settings::Settings& aSettings, EventQueue& aQueue);
  ~SlotWorker();
  SlotWorker(const SlotWorker&) = delete;
  SlotWorker& operator=(const SlotWorker&) = delete;

  // Answered by a SlotAnswer event.
  void Request(const SlotRequest& aRequest);

  // Waits for a request in progress, at most its time limit. Idempotent.
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

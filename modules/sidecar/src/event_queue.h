#pragma once

#include "sycamore/base/log.h"
#include "sycamore/base/ring.h"

#include "sidecar_event.h"

#include <optional>

namespace sycamore::sidecar {

// The bounded queue to the core thread. New work is refused before the queue is full, so that there
// is always space for reports of work already started.
class EventQueue
{
public:
  // aReserved is the largest number of PushReport events that can be outstanding.
  explicit EventQueue(size_t aReserved)
    : mRing(kMaxNewWork + aReserved)
  {
  }

  // New work; false if it is refused.
  bool PushWork(SidecarEvent aEvent)
  {
    return mRing.Size() < kMaxNewWork && mRing.TryPush(std::move(aEvent));
  }

  // A report that must not be lost.
  void PushReport(SidecarEvent aEvent)
  {
    if (!mRing.TryPush(std::move(aEvent)) && !mRing.Closed()) {
      base::Log(base::LogEvent::RingFull, "a report to the core was lost");
    }
  }

  std::optional<SidecarEvent> PopFor(base::Micros aTimeout) { return mRing.PopFor(aTimeout); }
  void Close() { mRing.Close(); }
  bool Closed() const { return mRing.Closed(); }

private:
  // At 30 peers with one token frame per 35 ms and stream each, a second of standstill.
  static constexpr size_t kMaxNewWork = 8192;

  base::Ring<SidecarEvent> mRing;
};

}

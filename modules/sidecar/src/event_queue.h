#pragma once

#include "sycamore/base/log.h"
#include "sycamore/base/ring.h"

#include "sidecar_event.h"

#include <optional>

namespace sycamore::sidecar {

// The bounded queue of the core thread. New work is refused before the queue is full, which
// reserves space for the results of work already started.
class EventQueue
{
public:
  // aReserved is the largest number of PushReport events that can be outstanding.
  explicit EventQueue(size_t aReserved)
    : mRing(kMaxNewWork + aReserved)
  {
  }

  // Adds new work; false if it is refused.
  bool PushWork(SidecarEvent aEvent)
  {
    return mRing.Size() < kMaxNewWork && mRing.TryPush(std::move(aEvent));
  }

  // Adds the result of work already started, which must not be lost.
  void PushReport(SidecarEvent aEvent)
  {
    if (!mRing.TryPush(std::move(aEvent)) && !mRing.Closed()) {
      base::Log(base::LogEvent::RingFull,
                "the queue of the core thread is full, a result was dropped");
    }
  }

  std::optional<SidecarEvent> PopFor(base::Micros aTimeout) { return mRing.PopFor(aTimeout); }
  void Close() { mRing.Close(); }
  bool Closed() const { return mRing.Closed(); }

private:
  // Holds the events of about 1 s while the core thread is blocked, at 30 peers and one token frame
  // per 35 ms and stream.
  static constexpr size_t kMaxNewWork = 8192;

  base::Ring<SidecarEvent> mRing;
};

}

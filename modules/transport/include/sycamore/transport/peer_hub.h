#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/transport/peer_event.h"

#include <functional>
#include <memory>

namespace sycamore::transport {

struct PeerHubSettings
{
  base::Millis mHeartbeatBase{ 1000 };  // Shortest heartbeat interval.
  size_t mControlBytesPerSecond = 4096; // Upper bound of heartbeat traffic, by a longer interval.
  // A link without any frame for this long, or for three heartbeat intervals of its peer if that is
  // longer, is closed.
  base::Millis mSilenceLimit{ 3000 };
  base::Millis mRedialMin{ 100 };
  base::Millis mRedialMax{ 2000 };
  size_t mMaxQueuedBytes = size_t{ 16 } << 20; // Unsent bytes per link; beyond it, closed.
};

// All connections of a process to its peers, on one thread: dialling and redialling, Hello,
// heartbeats, silence detection, and superseding of older connections by generation.
class PeerHub
{
public:
  // aSink receives events on the hub's thread and must not block; if it returns false the link of
  // the event is closed, so that no frame is lost silently.
  PeerHub(const PeerHubSettings& aSettings,
          wire::HelloT aHello,
          std::function<bool(PeerEvent)> aSink);
  ~PeerHub();
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  // Binds for incoming connections. Port 0 takes a free port; returns the bound endpoint.
  base::Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint);

  // Keeps one connection to aEndpoint open until Forget; redials with jittered backoff. Idempotent.
  void Dial(const http::Endpoint& aEndpoint);

  // Closes the connection to aEndpoint and stops dialling.
  void Forget(const http::Endpoint& aEndpoint);

  // Queues a frame. Returns false if the link is gone or its queue is full. Thread-safe. A frame of
  // which this returned true may still be lost with the link.
  bool Send(LinkId aLink, const wire::FrameT& aFrame);

  // Sets what the next heartbeats and hellos say. Thread-safe.
  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat);

  // Closes one link; a dialled one is dialled again.
  void Close(LinkId aLink);

  // Bytes sent and received so far on all links, frames of calls included.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

  // Flushes queued frames for at most aFlush, closes everything and joins the thread. Idempotent.
  void Stop(base::Millis aFlush);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

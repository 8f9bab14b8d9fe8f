#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/testbed/relay_mode.h"
#include "sycamore/testbed/relay_stats.h"

#include <cstddef>
#include <memory>

namespace sycamore::testbed {

// Forwards TCP connections between endpoints, on a thread of its own, and injects network faults.
// All functions are thread-safe and take effect before they return.
class Relay
{
public:
  Relay();
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Adds a link; port 0 takes a free port. Links are numbered from 0. Returns the bound endpoint.
  // ErrorKind::InvalidSettings if the address cannot be bound.
  base::Result<http::Endpoint> Add(const http::Endpoint& aListen, const http::Endpoint& aForward);

  // Number of links.
  size_t Size() const;

  // From now on discards all bytes of the present connections, without closing them. Connections
  // made later are not affected.
  void DropExisting(size_t aLink);

  // Error: InvalidSettings if the listening socket cannot be opened again.
  base::Result<base::Unit> SetMode(size_t aLink, RelayMode aMode);

  // Delays each byte in each direction; applies to bytes received from now on.
  void SetDelay(size_t aLink, base::Millis aDelay);

  RelayStats Stats(size_t aLink) const;

  // Closes everything and joins the thread. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

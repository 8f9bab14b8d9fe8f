#pragma once

#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/settings/settings.h"

#include <memory>
#include <string>

namespace sycamore::sidecar {

// The sidecar role: a SidecarCore with its threads, peers, targets and HTTP endpoint (GET /dump,
// /metrics, /healthz, /readyz). All functions may be called from any one thread.
class Sidecar
{
public:
  // aIncarnation identifies this process; random and not 0.
  Sidecar(settings::Settings aSettings, uint64_t aIncarnation);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Binds the endpoints and starts the threads. InvalidSettings if an endpoint cannot be bound; the
  // sidecar must then be destroyed.
  base::Result<base::Unit> Start();

  // Begins the graceful shutdown: entries are told at once, running calls are finished.
  void BeginDrain();

  // Whether the graceful shutdown is complete.
  bool Drained() const;

  // The state as JSON; empty if the core does not answer within 2 s.
  std::string Dump();

  // Ends everything and joins the threads. Calls still running are aborted. Idempotent.
  void Stop();

  // The bound endpoints; differ from the settings if those name port 0.
  http::Endpoint HttpEndpoint() const;
  http::Endpoint PeerEndpoint() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

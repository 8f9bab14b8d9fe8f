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

  // Binds the endpoints and starts the threads. Returns InvalidSettings if an endpoint cannot be
  // bound; the sidecar must then be destroyed.
  base::Result<base::Unit> Start();

  // Begins the graceful shutdown: notifies the entries and lets running calls finish.
  void BeginDrain();

  // Whether the graceful shutdown is complete.
  bool Drained() const;

  // The state as JSON; empty if the core does not answer within 2 s.
  std::string Dump();

  // Aborts running calls, closes all connections and joins the threads. Idempotent.
  void Stop();

  // The bound endpoints, with the actual port if the settings specify port 0.
  http::Endpoint HttpEndpoint() const;
  http::Endpoint PeerEndpoint() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

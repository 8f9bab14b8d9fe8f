#pragma once

#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/platform/log_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/world/instance.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::entry {

// The platform services that an entry uses.
struct EntryAdapters
{
  // Makes a log client; called once per thread that uses the log.
  std::function<std::unique_ptr<platform::LogClient>()> mMakeLogClient;
  // Reads the instance list; blocks. Called on one thread only.
  std::function<base::Result<std::vector<world::Instance>>()> mReadInstances;
};

// An entry: runs EntryCore on a thread of its own, and the threads that send it events.
class Entry
{
public:
  Entry(settings::Settings aSettings, EntryAdapters aAdapters);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Binds the addresses and starts the threads. InvalidSettings if an address cannot be bound.
  base::Result<base::Unit> Start();

  // The bound endpoints; valid after Start.
  http::Endpoint HttpEndpoint() const;
  http::Endpoint PeerEndpoint() const;

  // Starts the graceful shutdown. Thread-safe.
  void BeginDrain();

  // Whether the graceful shutdown has finished. Thread-safe.
  bool Drained() const;

  // The state as JSON text; empty if the core thread does not answer within a second. Thread-safe.
  std::string Dump();

  // Ends all threads. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

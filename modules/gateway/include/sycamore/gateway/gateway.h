#pragma once

#include "sycamore/base/result.h"
#include "sycamore/gateway/header_codec.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/gateway/platform_codec.h"
#include "sycamore/settings/settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace sycamore::gateway {

// Platform-specific parts of the gateway.
struct GatewayAdapters
{
  std::shared_ptr<const HeaderCodec> mHeaderCodec;
  std::shared_ptr<const PlatformCodec> mCodec;
  // Creates the log client, which runs on the gateway's event loop.
  std::function<std::unique_ptr<LogStore>(const boost::asio::any_io_executor&)> mMakeLogStore;
};

// The gateway role: takes requests from callers, keeps the programs' history and budgets in the
// log, and sends the calls to replicas. Runs an event loop on a thread of its own.
class Gateway
{
public:
  Gateway(const settings::Settings& aSettings, GatewayAdapters aAdapters);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Binds the addresses and starts to serve. InvalidSettings if one cannot be bound.
  base::Result<base::Unit> Start();

  // Fails the readiness check, so that the load balancer sends no new connections, and asks callers
  // to close theirs.
  void BeginDrain();

  // Whether the notice period for the load balancer has passed and no caller's connection is open.
  bool Drained() const;

  // Closes everything and joins the thread. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#pragma once

#include "memory_account.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/http/connection_limit.h"
#include "sycamore/wire/store_relay_generated.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace sycamore::gateway {

// What a gateway does for others.
struct RelayServices
{
  // The direct path to the platform, so that relayed calls never form a loop.
  LogStore& mDirect;
  // Serves the partitions that this gateway aggregates.
  LogStore& mAggregator;
  // Whether this gateway stops: it aggregates nothing any more, so that others turn away in time.
  std::function<bool()> mStopping;
  // The record of a turn's text if it is in memory.
  std::function<std::optional<std::string>(const std::string&)> mFindText;
  // Answers a request with operation Facts.
  std::function<boost::asio::awaitable<wire::RelayResponseT>(const wire::RelayRequestT&)> mFacts;
  // Answers a request with operation Usage.
  std::function<wire::RelayResponseT(const wire::RelayRequestT&)> mUsage;
};

// What the connections of other gateways may take together. Outlives them.
struct RelayLimits
{
  http::ConnectionLimit& mConnections;
  MemoryAccount& mFrames; // Requests and responses in progress.
};

// Serves one connection of another gateway, one call at a time, until the connection ends.
// aServices must outlive it.
boost::asio::awaitable<void>
ServeRelay(boost::asio::ip::tcp::socket aSocket,
           const RelayServices& aServices,
           RelayLimits aLimits);

}

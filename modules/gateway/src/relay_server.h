#pragma once

#include "sycamore/gateway/log_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sycamore::gateway {

// Serves one connection of another gateway: runs its calls on aStore, one at a time, until the
// connection ends. aStore must be the direct path to the platform, so that relayed calls never form
// a loop.
boost::asio::awaitable<void>
ServeRelay(boost::asio::ip::tcp::socket aSocket, LogStore& aStore);

}

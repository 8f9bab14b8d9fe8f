#pragma once

#include "store_paths.h"
#include "sycamore/http/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace sycamore::gateway {

// Registers this process under aInstance in the members' stream, then updates aStore's peers from
// the stream until the event loop ends. Stopped members stay listed; calls through them fail fast.
boost::asio::awaitable<void>
KeepMembership(StorePaths& aStore, std::string aInstance, http::Endpoint aPeer);

}

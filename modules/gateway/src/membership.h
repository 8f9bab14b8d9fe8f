#pragma once

#include "store_paths.h"
#include "sycamore/http/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace sycamore::gateway {

// Announces this process under aInstance in the members' stream, and keeps aStore's peers as the
// stream lists them, for good. Members that are gone stay listed; calls through them fail fast.
boost::asio::awaitable<void>
KeepMembership(StorePaths& aStore, std::string aInstance, http::Endpoint aPeer);

}

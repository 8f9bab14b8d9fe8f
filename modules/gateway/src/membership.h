#pragma once

#include "member.h"
#include "store_paths.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Reads the members' stream once and sets aStore's members. Whether the store answered.
boost::asio::awaitable<bool>
ReadMembers(StorePaths& aStore);

// Registers this process in the members' stream, then updates aStore's members from the stream
// until the event loop ends. Stopped members stay listed; calls through them fail fast.
boost::asio::awaitable<void>
KeepMembership(StorePaths& aStore, Member aOwn);

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/log_store.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace sycamore::gateway {

// Callbacks of a follower of a keyed stream; run on the event loop.
struct FollowerHandlers
{
  std::function<void(StreamSnapshot)> mOnSnapshot; // Replaces everything known before.
  std::function<void(StreamRecord)> mOnRecord;     // Later changes, in order.
  std::function<void()> mOnCurrent; // The store answered, and all its records were reported.
  std::function<void()> mOnFailure; // The store did not answer.
};

// Follows a keyed stream until the event loop ends: a snapshot first, then each change. Reads a new
// snapshot when changes were missed.
boost::asio::awaitable<void>
FollowStream(LogStore& aStore, StreamName aStream, FollowerHandlers aHandlers);

}

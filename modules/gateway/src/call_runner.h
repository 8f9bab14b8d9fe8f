#pragma once

#include "caller_link.h"
#include "context.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Answers one request of a caller: finds its route, runs it as a turn of a program or as a single
// call, and logs the outcome.
boost::asio::awaitable<void>
RunCall(Context& aContext, CallerLink& aLink, CallerRequest aRequest);

}

#pragma once

#include "call.h"
#include "caller_link.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Answers aCall with aError. If the call has not run and may succeed later, the answer says when to
// come back.
boost::asio::awaitable<void>
SendRefusal(CallerLink& aLink, const Call& aCall, const base::Error& aError);

}

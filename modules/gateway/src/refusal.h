#pragma once

#include "call.h"
#include "call_outcome.h"
#include "caller_link.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Time after which a refused call may come back: long enough for a replica's slot to become free.
constexpr base::Millis kRetryAfter{ 150 };

// Answers aCall with aError. If the call has not run and may succeed later, the answer says when to
// come back: after aRetryAfter, or a third of the time that the caller has left if that is less.
// Returns the outcome of the call.
boost::asio::awaitable<CallOutcome>
SendRefusal(CallerLink& aLink,
            const Call& aCall,
            const base::Error& aError,
            base::Millis aRetryAfter = kRetryAfter);

}

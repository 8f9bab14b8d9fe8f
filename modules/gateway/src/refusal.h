#pragma once

#include "call.h"
#include "call_outcome.h"
#include "caller_link.h"
#include "sycamore/accounts/account_usage.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Default Retry-After time of a refused call: long enough for a replica's slot to become free.
constexpr base::Millis kRetryAfter{ 150 };

// Answers aCall with aError. If the call has not run and may succeed later, the answer has a
// Retry-After header: aRetryAfter, or a third of the caller's remaining time if that is less.
// Returns the outcome of the call.
boost::asio::awaitable<CallOutcome>
SendRefusal(CallerLink& aLink,
            const Call& aCall,
            const base::Error& aError,
            base::Millis aRetryAfter = kRetryAfter);

// Answers aCall, whose account has used up its quota, with 429. The Retry-After time is when the
// quota has room again, even if the caller has less time than that.
boost::asio::awaitable<CallOutcome>
RefuseOverQuota(CallerLink& aLink, const Call& aCall, const accounts::QuotaVerdict& aVerdict);

}

#pragma once

#include "context.h"
#include "replica_pool.h"

#include <boost/asio/awaitable.hpp>

namespace sycamore::gateway {

// Records that a call aRequest broke off at the replica of aState, and finds out in
// the background whether the replica has ended: a replica that resets single connections accepts
// new ones. If it has, the calls that broke off meanwhile count as suspects, see CrashSuspects.
void
NoteBrokenCall(Context& aContext, ReplicaStatePtr aState, RequestHash aRequest, bool aMayHaveBegun);

// Waits until it is known whether the replica of aState has ended, if that is being found out.
boost::asio::awaitable<void>
AwaitCrashProbe(ReplicaStatePtr aState);

// Waits while probes decide whether aRequest is barred; see CrashSuspects::AwaitsVerdict. A probe
// takes 0.3 s at most.
boost::asio::awaitable<void>
AwaitVerdict(Context& aContext, RequestHash aRequest, base::TimePoint aDeadline);

}

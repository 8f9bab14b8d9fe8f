#pragma once

#include "call.h"
#include "caller_link.h"
#include "context.h"
#include "replica_exchange.h"

#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>

namespace sycamore::gateway {

// Inputs of the replica selection besides the route.
struct DispatchHint
{
  std::string mPrefixReplica; // Its cache holds a prefix of the prompt; may be empty.
  uint64_t mPromptTokens = 0;
};

struct DispatchResult
{
  ExchangeResult mExchange;
  std::string mReplica;     // The last one that was tried.
  uint32_t mSends = 0;      // To replicas.
  bool mMayHaveRun = false; // At one of them, without a usable answer.
  bool mBarred = false;     // It must not reach another replica, see CrashSuspects.
  bool mRevoked = false;    // Its API key was taken away before it was sent.
  bool mAtLimit = false;    // Replicas were left, but their request limits allowed no call.
};

// Sends aCall with aBody to replicas, one after the other, until one has run it or may have run it.
// Calls that may run more than once are sent again after failures too: a stream goes on after its
// last whole event. At most Route::mAttempts replicas receive the call, without those that have
// ended since; when no further replica may receive a stream, it goes to the same one again. Records
// the replica and the time taken in the trace of aCall.
boost::asio::awaitable<DispatchResult>
Dispatch(Context& aContext,
         CallerLink& aLink,
         Call& aCall,
         std::string aBody,
         const DispatchHint& aHint,
         StreamSink* aSink);

// The error for a call that is barred, see CrashSuspects.
base::Error
BarredError();

// The error for the caller if no replica answered.
base::Error
ErrorFor(const DispatchResult& aResult);

}

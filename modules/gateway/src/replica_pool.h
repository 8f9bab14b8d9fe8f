#pragma once

#include "prompt_cache.h"
#include "replica_connection.h"
#include "request_hash.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/header_codec.h"
#include "sycamore/gateway/replica.h"
#include "sycamore/gateway/replica_choice.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

// A call that broke off when its replica ended the connection.
struct BrokenCall
{
  RequestHash mRequest;
  bool mMayHaveBegun = false;
};

// State of one incarnation of a replica as observed by the calls of this process, and its idle
// connections.
struct ReplicaState
{
  Replica mReplica;
  uint64_t mIdHash = 0; // Of mReplica.mId.
  uint32_t mInFlight = 0;
  std::optional<ReportedLoad> mLoad;
  base::TimePoint mLoadAt;
  uint32_t mSentSinceReport = 0; // Calls sent after mLoad arrived.
  uint32_t mRecentFailures = 0;
  base::TimePoint mLastFailure;
  PromptCache mPrompts;
  std::vector<BrokenCall> mBroken;         // Since a probe for its end was started.
  std::vector<ReplicaConnectionPtr> mIdle; // The most recently used one last.
};

using ReplicaStatePtr = std::shared_ptr<ReplicaState>;

// Connection pool for replicas; opening a connection has a cost. Lives on one event loop.
class ReplicaPool
{
public:
  explicit ReplicaPool(const boost::asio::any_io_executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  // The state of aReplica. A new incarnation starts with an empty state, also under the same id.
  ReplicaStatePtr StateOf(const Replica& aReplica);

  // Drops the replicas that are not in aListed, with their idle connections.
  void Retain(const std::vector<std::string>& aListed);

  // Takes a reusable idle connection, or opens one. TargetRefused if none can be opened before
  // aTimeout: nothing was sent.
  boost::asio::awaitable<base::Result<ReplicaConnectionPtr>> Acquire(ReplicaStatePtr aState,
                                                                     base::Millis aTimeout);

  // Opens a connection; errors as Acquire.
  boost::asio::awaitable<base::Result<ReplicaConnectionPtr>> Open(ReplicaStatePtr aState,
                                                                  base::Millis aTimeout);

  // Keeps a connection whose last answer was read completely. aIdleTimeout is the keep-alive
  // timeout that the replica announced, if any.
  static void Release(ReplicaState& aState,
                      ReplicaConnectionPtr aConnection,
                      std::optional<base::Millis> aIdleTimeout);

  // The replicas that calls were sent to, by id.
  const std::map<std::string, ReplicaStatePtr>& States() const { return mStates; }

private:
  boost::asio::any_io_executor mExecutor;
  std::map<std::string, ReplicaStatePtr> mStates; // By id.
};

// The inputs of the routing decision from aState, but for the replica's region and cache.
ReplicaView
ViewOf(const ReplicaState& aState, base::TimePoint aNow);

void
NoteSuccess(ReplicaState& aState);

void
NoteFailure(ReplicaState& aState, base::TimePoint aNow);

}

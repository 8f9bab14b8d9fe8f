#pragma once

#include "replica_connection.h"
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

// What this process knows of one incarnation of a replica from its own calls, and its idle
// connections.
struct ReplicaState
{
  Replica mReplica;
  uint32_t mInFlight = 0;
  std::optional<ReportedLoad> mLoad;
  base::TimePoint mLoadAt;
  uint32_t mRecentFailures = 0;
  base::TimePoint mLastFailure;
  std::vector<ReplicaConnectionPtr> mIdle; // The most recently used one last.
};

using ReplicaStatePtr = std::shared_ptr<ReplicaState>;

// Connections to replicas, kept for reuse since each new one is paid for. Lives on one event loop.
class ReplicaPool
{
public:
  explicit ReplicaPool(const boost::asio::any_io_executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  // The state of aReplica. A new incarnation, also one under the same id, starts without any.
  ReplicaStatePtr StateOf(const Replica& aReplica);

  // Forgets replicas that are not listed any more, with their idle connections.
  void Retain(const std::vector<std::string>& aListed);

  // Takes an idle connection that is still quiet, or opens one. TargetRefused if none can be opened
  // before aTimeout: nothing was sent.
  boost::asio::awaitable<base::Result<ReplicaConnectionPtr>> Acquire(ReplicaStatePtr aState,
                                                                     base::Millis aTimeout);

  // Keeps a connection whose last answer was read completely. aIdleTimeout is what the replica
  // told, if it did.
  static void Release(ReplicaState& aState,
                      ReplicaConnectionPtr aConnection,
                      std::optional<base::Millis> aIdleTimeout);

  // The replicas that calls were sent to, by id.
  const std::map<std::string, ReplicaStatePtr>& States() const { return mStates; }

private:
  boost::asio::any_io_executor mExecutor;
  std::map<std::string, ReplicaStatePtr> mStates; // By id.
};

// The view of aState that routing decides by.
ReplicaView
ViewOf(const ReplicaState& aState, bool aSameRegion, bool aHasPrefix, base::TimePoint aNow);

void
NoteSuccess(ReplicaState& aState);

void
NoteFailure(ReplicaState& aState, base::TimePoint aNow);

}

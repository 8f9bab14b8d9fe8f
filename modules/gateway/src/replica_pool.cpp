#include "replica_pool.h"

#include "async.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/address.hpp>
#include <set>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// Reuse ends this long before the replica closes the connection: a call that is sent while the
// replica closes may have run, so that it cannot be sent again. Covers a round trip between
// regions.
static constexpr Millis kCloseMargin{ 400 };
// Idle time after which a connection is not reused if the replica announces no timeout.
static constexpr Millis kDefaultIdleTimeout{ 4000 };
// Time without acknowledgement after which the kernel reports a connection as lost.
static constexpr Millis kDeadPeerTimeout{ 1000 };

ReplicaStatePtr
ReplicaPool::StateOf(const Replica& aReplica)
{
  ReplicaStatePtr& state = mStates[aReplica.mId];
  const bool sameIncarnation = state && state->mReplica.mStartedUnixMs == aReplica.mStartedUnixMs &&
                               state->mReplica.mEndpoint == aReplica.mEndpoint;
  if (!sameIncarnation) {
    state = std::make_shared<ReplicaState>();
    state->mIdHash = base::StableHash(aReplica.mId);
  }
  state->mReplica = aReplica;
  return state;
}

void
ReplicaPool::Retain(const std::vector<std::string>& aListed)
{
  const std::set<std::string> listed(aListed.begin(), aListed.end());
  std::erase_if(mStates, [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
}

static ReplicaConnectionPtr
TakeIdle(ReplicaState& aState)
{
  while (!aState.mIdle.empty()) {
    ReplicaConnectionPtr connection = std::move(aState.mIdle.back());
    aState.mIdle.pop_back();
    if (base::Clock::now() < connection->mUsableUntil && IsReusable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

boost::asio::awaitable<base::Result<ReplicaConnectionPtr>>
ReplicaPool::Acquire(ReplicaStatePtr aState, Millis aTimeout)
{
  if (ReplicaConnectionPtr idle = TakeIdle(*aState)) {
    co_return std::move(idle);
  }
  co_return co_await Open(std::move(aState), aTimeout);
}

boost::asio::awaitable<base::Result<ReplicaConnectionPtr>>
ReplicaPool::Open(ReplicaStatePtr aState, Millis aTimeout)
{
  auto connection = std::make_unique<ReplicaConnection>(mExecutor);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aState->mReplica.mEndpoint.mAddress, error);
  if (!error) {
    connection->mStream.expires_after(aTimeout);
    std::tie(error) = co_await connection->mStream.async_connect(
      boost::asio::ip::tcp::endpoint(address, aState->mReplica.mEndpoint.mPort), kAsTuple);
  }
  if (error) {
    co_return base::Error{ base::ErrorKind::TargetRefused, error.message(), "" };
  }
  EnableDeadPeerDetection(connection->mStream.socket(), kDeadPeerTimeout);
  co_return std::move(connection);
}

void
ReplicaPool::Release(ReplicaState& aState,
                     ReplicaConnectionPtr aConnection,
                     std::optional<Millis> aIdleTimeout)
{
  const Millis idle = aIdleTimeout.value_or(kDefaultIdleTimeout) - kCloseMargin;
  if (idle <= Millis(0) || aConnection->mBuffer.size() != 0) {
    return; // Left-over bytes belong to no call.
  }
  aConnection->mUsableUntil = base::Clock::now() + idle;
  aConnection->mStream.expires_never();
  aConnection->mUsedBefore = true;
  aState.mIdle.push_back(std::move(aConnection));
}

ReplicaView
ViewOf(const ReplicaState& aState, base::TimePoint aNow)
{
  ReplicaView view;
  view.mSlots = aState.mReplica.mSlots;
  view.mIdHash = aState.mIdHash;
  view.mInFlight = aState.mInFlight;
  view.mLoad = aState.mLoad;
  view.mLoadAge = std::chrono::duration_cast<Millis>(aNow - aState.mLoadAt);
  view.mSentSinceReport = aState.mSentSinceReport;
  view.mRecentFailures = aState.mRecentFailures;
  view.mSinceFailure = std::chrono::duration_cast<Millis>(aNow - aState.mLastFailure);
  return view;
}

void
NoteSuccess(ReplicaState& aState)
{
  if (aState.mRecentFailures > 0) {
    base::Log(base::LogEvent::ReplicaRestored,
              "replica={} after_failures={}",
              aState.mReplica.mId,
              aState.mRecentFailures);
  }
  aState.mRecentFailures = 0;
}

void
NoteFailure(ReplicaState& aState, base::TimePoint aNow)
{
  ++aState.mRecentFailures;
  aState.mLastFailure = aNow;
  base::Log(base::LogEvent::ReplicaAvoided,
            "replica={} service={} domain={} failures={}",
            aState.mReplica.mId,
            aState.mReplica.mService,
            aState.mReplica.mDomain,
            aState.mRecentFailures);
}

}

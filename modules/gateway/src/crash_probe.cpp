#include "crash_probe.h"

#include "async.h"
#include "sycamore/base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>
#include <vector>

namespace sycamore::gateway {

using base::Millis;

// Time in which the connections of a replica that ends break. Replicas are back after seconds.
static constexpr Millis kProbeDelay{ 50 };
// Connect timeout of the probe; the farthest replica answers in 65 ms.
static constexpr Millis kProbeTimeout{ 250 };
// How often a call checks whether the probe has ended.
static constexpr Millis kWaitInterval{ 10 };

static boost::asio::awaitable<void>
Probe(Context& aContext, ReplicaStatePtr aState)
{
  co_await SleepFor(kProbeDelay);
  auto connected = co_await aContext.mPool.Open(aState, kProbeTimeout);
  const std::vector<BrokenCall> broken = std::exchange(aState->mBroken, {});
  for (const BrokenCall& call : broken) {
    aContext.mSuspects.NoteProbeEnded(call.mRequest, call.mMayHaveBegun);
  }
  if (base::IsOk(connected)) {
    ReplicaPool::Release(*aState, base::TakeValue(std::move(connected)), std::nullopt);
    co_return;
  }
  for (const BrokenCall& call : broken) {
    aContext.mSuspects.NoteCrash(call.mRequest, aState->mReplica, call.mMayHaveBegun);
  }
}

void
NoteBrokenCall(Context& aContext, ReplicaStatePtr aState, RequestHash aRequest, bool aMayHaveBegun)
{
  aState->mBroken.push_back({ aRequest, aMayHaveBegun });
  aContext.mSuspects.NoteProbeStarted(aRequest, aMayHaveBegun);
  if (aState->mBroken.size() == 1) {
    boost::asio::co_spawn(aContext.mExecutor, Probe(aContext, std::move(aState)), LogFailure{});
  }
}

boost::asio::awaitable<void>
AwaitCrashProbe(ReplicaStatePtr aState)
{
  while (!aState->mBroken.empty()) {
    co_await SleepFor(kWaitInterval);
  }
}

boost::asio::awaitable<void>
AwaitVerdict(Context& aContext, RequestHash aRequest, base::TimePoint aDeadline)
{
  while (aContext.mSuspects.AwaitsVerdict(aRequest) && base::Clock::now() < aDeadline) {
    co_await SleepFor(kWaitInterval);
  }
}

}

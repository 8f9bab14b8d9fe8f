#include "stream_follower.h"

#include "fake_log_store.h"
#include "loop_fixture.h"

namespace sycamore::gateway {

// Guards against snapshots without a pause while the store drops its history: those of all gateways
// together took the store's bandwidth, so that no other read was answered in time.
BOOST_FIXTURE_TEST_CASE(FollowStreamWhileHistoryIsDroppedPausesBetweenSnapshots, LoopFixture)
{
  FakeLogStore store;
  store.mExpired = true;
  int snapshots = 0;
  FollowerHandlers handlers;
  handlers.mOnSnapshot = [&](const StreamSnapshot&) { ++snapshots; };
  handlers.mOnRecord = [](const StreamRecord&) {};
  handlers.mOnCurrent = [] {};
  handlers.mOnFailure = [] {};
  Spawn(FollowStream(store, StreamName::Replicas, std::move(handlers)));
  const base::TimePoint end = base::Clock::now() + base::Millis(2500);
  RunUntil([&] { return base::Clock::now() >= end; });
  BOOST_TEST(snapshots >= 2);
  BOOST_TEST(snapshots <= 3);
}

}

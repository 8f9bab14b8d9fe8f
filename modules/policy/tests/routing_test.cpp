#include "sycamore/policy/routing.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace sycamore::policy {

static rc::Gen<ReplicaView>
GenReplica()
{
  return rc::gen::exec([] {
    ReplicaView view;
    view.mUsable = *rc::gen::arbitrary<bool>();
    view.mRunning = *rc::gen::inRange<uint32_t>(0, 50);
    view.mQueued = *rc::gen::inRange<uint32_t>(0, 50);
    view.mQueuedTokens = *rc::gen::inRange<uint64_t>(0, 100000);
    view.mReportAge = base::Millis{ *rc::gen::inRange(0, 5000) };
    view.mSentTokens = *rc::gen::inRange<uint64_t>(0, 100000);
    view.mCachedTokens = *rc::gen::inRange<uint64_t>(0, 10000);
    view.mLinkDelay = base::Micros{ *rc::gen::inRange(0, 40000) };
    return view;
  });
}

BOOST_AUTO_TEST_SUITE(RoutingTest)

// A leaving or unresponsive replica must never be chosen, and the best of the others must be.
RC_BOOST_PROP(ChoiceIsUsableWithLowestScore, ())
{
  const auto replicas = *rc::gen::container<std::vector<ReplicaView>>(GenReplica());
  const RouteRequest request{ *rc::gen::inRange<uint64_t>(0, 20000), 100, 1000 };
  const ReplicaSpeed speed;
  const auto chosen = ChooseByScore(replicas, request, speed, *rc::gen::inRange<size_t>(0, 100));
  const bool any = std::any_of(
    replicas.begin(), replicas.end(), [](const ReplicaView& aView) { return aView.mUsable; });
  RC_ASSERT(chosen.has_value() == any);
  if (!chosen) {
    return;
  }
  RC_ASSERT(replicas[*chosen].mUsable);
  for (const ReplicaView& replica : replicas) {
    RC_ASSERT(!replica.mUsable ||
              RouteScore(replicas[*chosen], request, speed) <= RouteScore(replica, request, speed));
  }
}

// More cached tokens, less queued work and a shorter link delay must never raise a score.
RC_BOOST_PROP(ScoreIsMonotonic, ())
{
  const ReplicaView view = *GenReplica();
  const RouteRequest request{ *rc::gen::inRange<uint64_t>(0, 20000), 100, 1000 };
  const ReplicaSpeed speed;
  const double score = RouteScore(view, request, speed);
  ReplicaView better = view;
  better.mCachedTokens += 100;
  RC_ASSERT(RouteScore(better, request, speed) <= score);
  ReplicaView loaded = view;
  loaded.mSentTokens += 1000;
  RC_ASSERT(RouteScore(loaded, request, speed) >= score);
  ReplicaView farther = view;
  farther.mLinkDelay += base::Micros{ 30000 };
  RC_ASSERT(RouteScore(farther, request, speed) > score);
}

// The replica with the cached prompt is chosen while its queue is short, and not once the queue
// costs more than the prefill that the cache saves.
BOOST_AUTO_TEST_CASE(ReplicaWithCachedPromptLosesWhenItsQueueOutweighsPrefill)
{
  ReplicaView cached;
  cached.mCachedTokens = 1000;
  cached.mQueuedTokens = 100;
  ReplicaView idle;
  const RouteRequest request{ 1000, 100, 4000 };
  BOOST_TEST(ChooseByScore({ cached, idle }, request, ReplicaSpeed{}, 0).value() == 0u);
  cached.mQueuedTokens = 1000;
  BOOST_TEST(ChooseByScore({ cached, idle }, request, ReplicaSpeed{}, 0).value() == 1u);
}

BOOST_AUTO_TEST_CASE(BaselineUsesReportedLoadOnly)
{
  ReplicaView cached;
  cached.mCachedTokens = 100000;
  cached.mRunning = 2;
  ReplicaView idle;
  BOOST_TEST(ChooseByLoad({ cached, idle }, 0).value() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "call_trace.h"
#include "fake_header_codec.h"
#include "prompt_cache.h"
#include "request_hash.h"
#include "shared_prompts.h"
#include "sycamore/gateway/replica_choice.h"
#include "sycamore/gateway/replica_list.h"
#include "sycamore/gateway/route_table.h"
#include "turn_output.h"

#include <boost/test/unit_test.hpp>
#include <ctime>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace sycamore::gateway {

static Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = "a.example";
  route.mPathPrefix = aPrefix;
  route.mBackends = { { "s1", 90 }, { "s2", 10 } };
  return route;
}

// Guards against a request that runs at the service of a less specific route.
BOOST_AUTO_TEST_CASE(RouteWithTheLongestPrefixTakesThePath)
{
  RouteTable table;
  table.mRoutes = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  BOOST_TEST(FindRoute(table, "a.example", "/a/b/c?x=/")->mName == "long");
  BOOST_TEST(FindRoute(table, "A.example:80", "/a/c")->mName == "short");
  BOOST_TEST(FindRoute(table, "b.example", "/a/b/") == nullptr);
  BOOST_TEST(FindRoute(table, "a.example", "/a") == nullptr);
}

// Guards against lookups that take milliseconds once an operator has added many routes of one host.
// At the target size, 3.8% of a core for 7 calls a second leaves 5 ms for everything in a call.
BOOST_AUTO_TEST_CASE(RouteLookupInALongTableTakesLittleProcessorTime)
{
  constexpr int kRoutes = 4250;
  constexpr int kLookups = 100;
  constexpr double kMaxSecondsPerLookup = 0.001;
  RouteTable table;
  for (int i = 0; i < kRoutes; ++i) {
    table.mRoutes.push_back(MakeRoute("r", "/r" + std::to_string(i) + "/"));
  }
  const std::clock_t begin = std::clock();
  int found = 0;
  for (int i = 0; i < kLookups; ++i) {
    found += FindRoute(table, "a.example", "/r17/x") != nullptr ? 1 : 0;
  }
  const double took = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  BOOST_TEST(found == kLookups);
  BOOST_TEST(took < kLookups * kMaxSecondsPerLookup);
}

// Guards against a split that sends everything to one service.
BOOST_AUTO_TEST_CASE(RouteSplitFollowsTheWeights)
{
  const Route route = MakeRoute("r", "/");
  int second = 0;
  for (int i = 0; i < 1000; ++i) {
    second += ServiceFor(route, "key-" + std::to_string(i)) == "s2" ? 1 : 0;
  }
  BOOST_TEST(second > 50);
  BOOST_TEST(second < 200);
}

// Guards against turns that are routed away from the replica with their cached prefix although it
// has free slots.
BOOST_AUTO_TEST_CASE(ReplicaWithThePrefixIsPreferredWhileItHasFreeSlots)
{
  std::vector<ReplicaView> replicas(3);
  for (ReplicaView& view : replicas) {
    view.mSlots = 16;
  }
  replicas[1].mKeptTokens = 3000;
  replicas[1].mInFlight = 8;
  BOOST_TEST(ChooseReplica(replicas, 3000, 0).value().mIndex == 1U);
  replicas[1].mInFlight = 60;
  BOOST_TEST(ChooseReplica(replicas, 3000, 0).value().mIndex != 1U);
}

// Guards against turns that leave their cached prefix for a slightly shorter queue: the prompt is
// then prefilled again, which holds up all calls that run at the other replica.
BOOST_AUTO_TEST_CASE(ReplicaWithThePrefixIsPreferredWhileAllAreBusy)
{
  std::vector<ReplicaView> replicas(3);
  for (ReplicaView& view : replicas) {
    view.mSlots = 8;
    view.mLoad = ReportedLoad{ 8, 2, 8 };
  }
  replicas[1].mKeptTokens = 2000;
  replicas[1].mLoad = ReportedLoad{ 8, 4, 8 };
  BOOST_TEST(ChooseReplica(replicas, 2000, 0).value().mIndex == 1U);
  // An idle replica prefills the prompt sooner than the queue advances.
  replicas[2].mLoad = ReportedLoad{ 0, 0, 8 };
  BOOST_TEST(ChooseReplica(replicas, 2000, 0).value().mIndex == 2U);
}

// Guards against programs that stay at one replica because it is the only one known to keep a part
// that most replicas keep, and against a history that is read again elsewhere.
BOOST_AUTO_TEST_CASE(PromptCacheKeepsWhatFitsIntoTheEngine)
{
  PromptCache cache;
  const std::vector<PromptPart> first{ { 1, 600 }, { 2, 100 } };
  const std::vector<PromptPart> second{ { 1, 600 }, { 2, 250 } };
  const std::vector<PromptPart> other{ { 1, 600 }, { 3, 250 } };
  cache.Note(first, 1000);
  BOOST_TEST(cache.KeptTokens(second) == 700U);
  BOOST_TEST(cache.KeptTokens(other) == 600U);
  cache.Note(second, 1000);
  BOOST_TEST(cache.KeptTokens(second) == 850U);
  cache.Note(other, 1000); // Exceeds the memory: the history of the first session leaves.
  BOOST_TEST(cache.KeptTokens(other) == 850U);
  BOOST_TEST(cache.KeptTokens(second) == 600U);
  BOOST_TEST(cache.KeptTokens({}) == 0U);
}

// Guards against the assumption that engines keep more shared parts than fit into their memory.
BOOST_AUTO_TEST_CASE(SharedPromptsBeyondTheMemoryAreKeptBySomeReplicas)
{
  SharedPrompts prompts;
  const base::TimePoint now = base::Clock::now();
  BOOST_TEST(prompts.KeptShare(1000) == 1);
  prompts.Note({ 1, 400 }, now);
  prompts.Note({ 1, 400 }, now);
  BOOST_TEST(prompts.KeptShare(1000) == 1);
  prompts.Note({ 2, 600 }, now);
  BOOST_TEST(prompts.KeptShare(1000) == 0.5);
  prompts.Note({ 3, 300 }, now + base::Seconds(60));
  BOOST_TEST(prompts.Size() == 1U);
  BOOST_TEST(prompts.KeptShare(1000) == 1);
}

// Guards against calls that go on to a replica that just failed while others work.
BOOST_AUTO_TEST_CASE(ReplicaThatJustFailedIsAvoided)
{
  std::vector<ReplicaView> replicas(2);
  replicas[0].mRecentFailures = 1;
  replicas[0].mSinceFailure = base::Millis(100);
  replicas[1].mSameRegion = false;
  replicas[0].mSlots = replicas[1].mSlots = 16;
  BOOST_TEST(ChooseReplica(replicas, 0, 0).value().mIndex == 1U);
  replicas[0].mSinceFailure = base::Millis(5000);
  BOOST_TEST(ChooseReplica(replicas, 0, 0).value().mIndex == 0U);
}

// Guards against a choice that is not the best one for some tie break.
RC_BOOST_PROP(ReplicaChoiceHasTheLeastExpectedDelay, ())
{
  std::vector<ReplicaView> replicas(*rc::gen::inRange<size_t>(1, 12));
  for (ReplicaView& view : replicas) {
    view.mSlots = *rc::gen::inRange<uint32_t>(1, 32);
    view.mInFlight = *rc::gen::inRange<uint32_t>(0, 64);
    view.mSameRegion = *rc::gen::arbitrary<bool>();
    view.mKeptTokens = *rc::gen::inRange<uint64_t>(0, 12000);
    view.mRecentFailures = *rc::gen::inRange<uint32_t>(0, 6);
    view.mSinceFailure = base::Millis(*rc::gen::inRange(0, 8000));
  }
  const uint64_t tokens = *rc::gen::inRange<uint64_t>(0, 10000);
  const auto chosen = ChooseReplica(replicas, tokens, *rc::gen::arbitrary<uint64_t>());
  RC_ASSERT(chosen.has_value());
  const std::vector<double> loads = AssumedLoads(replicas);
  const auto delayAt = [&](size_t aIndex) {
    return ExpectedDelay(replicas[aIndex], loads[aIndex], tokens);
  };
  for (size_t i = 0; i < replicas.size(); ++i) {
    RC_ASSERT(delayAt(chosen->mIndex) <= delayAt(i));
  }
}

struct ReplicaListFixture
{
  ReplicaList mList;
  base::TimePoint mNow = base::Clock::now();

  static Replica MakeReplica(bool aLeaving)
  {
    Replica replica;
    replica.mId = "i-1";
    replica.mService = "s";
    replica.mLeaving = aLeaving;
    return replica;
  }
};

// Guards against new calls to a replica that is leaving.
BOOST_FIXTURE_TEST_CASE(ReplicaListLeavingOrRemovedReplicaIsNotUsable, ReplicaListFixture)
{
  mList.Update("i-1", MakeReplica(false), mNow);
  BOOST_TEST(mList.Usable("s", mNow).size() == 1U);
  mList.Update("i-1", MakeReplica(true), mNow);
  BOOST_TEST(mList.Usable("s", mNow).empty());
  mList.Update("i-1", MakeReplica(false), mNow);
  mList.Update("i-1", std::nullopt, mNow);
  BOOST_TEST(mList.Usable("s", mNow).empty());
}

// Guards against a store outage that removes all replicas, and against a replica that stays usable
// although its entry has not reappeared.
BOOST_FIXTURE_TEST_CASE(ReplicaListEntryExpiredInAnOutageStaysForAGracePeriod, ReplicaListFixture)
{
  mList.Update("i-1", MakeReplica(false), mNow);
  mList.NoteStoreFailure(mNow);
  mList.Replace({}, mNow + base::Millis(500));
  BOOST_TEST(mList.Usable("s", mNow + base::Millis(2000)).size() == 1U);
  BOOST_TEST(mList.Usable("s", mNow + base::Millis(2800)).empty());
  mList.Update("i-1", MakeReplica(false), mNow + base::Millis(2900));
  BOOST_TEST(mList.Usable("s", mNow + base::Seconds(60)).size() == 1U);
}

// Guards against new calls at a replica that said in an answer that it leaves: the platform may
// list it as ready, drop it and list it again. A new incarnation under the same id is another
// replica.
BOOST_FIXTURE_TEST_CASE(ReplicaListReplicaThatSaidItLeavesStaysUnusable, ReplicaListFixture)
{
  const Replica replica = MakeReplica(false);
  mList.Update(replica.mId, replica, mNow);
  BOOST_TEST(mList.NoteLeaving(replica, mNow));
  BOOST_TEST(!mList.NoteLeaving(replica, mNow));
  BOOST_TEST(mList.Usable("s", mNow).empty());
  mList.Update(replica.mId, std::nullopt, mNow);
  mList.Update(replica.mId, replica, mNow);
  BOOST_TEST(mList.Usable("s", mNow).empty());
  mList.Replace({ { replica.mId, replica } }, mNow);
  BOOST_TEST(mList.Usable("s", mNow).empty());
  Replica next = replica;
  next.mStartedUnixMs = replica.mStartedUnixMs + 1;
  mList.Update(replica.mId, next, mNow);
  BOOST_TEST(mList.Usable("s", mNow).size() == 1U);
}

// Guards against partial events that reach the caller, and against a history that differs from the
// data of the events.
BOOST_AUTO_TEST_CASE(TurnOutputBytesInPiecesGiveWholeEvents)
{
  const std::string bytes = "id: 1\ndata: a b\n\nversion: 3\nid: 2\ndata: c\n\nid: 3\nda";
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    const FakeHeaderCodec codec;
    TurnOutput output(codec, TurnOutput::Keep::History);
    output.BeginPart(2);
    std::string whole = output.Add(bytes.substr(0, cut));
    whole += output.Add(bytes.substr(cut));
    BOOST_TEST(whole == bytes.substr(0, bytes.size() - 8), cut);
    BOOST_TEST(output.History() == "a b\nc\n");
    BOOST_TEST(output.EventCount() == 2U);
    BOOST_TEST(output.InsideEvent());
    BOOST_TEST(output.Bytes() == output.History().size() + 8);
    BOOST_TEST_REQUIRE(output.Resume().has_value());
    BOOST_TEST(output.Resume()->mLastEvent == 2U);
    BOOST_TEST(output.Resume()->mWeightVersion.value() == 3U);
  }
}

// Guards against a continued stream with a gap, a repeat or the rest of a half event, and against
// ids that are not numbers.
BOOST_AUTO_TEST_CASE(TurnOutputNextPartMustFollowTheLastWholeEvent)
{
  const FakeHeaderCodec codec;
  const auto continued = [&](const std::string& aFirst, const std::string& aSecond) {
    TurnOutput output(codec, TurnOutput::Keep::Nothing);
    output.BeginPart(std::nullopt);
    output.Add(aFirst);
    output.BeginPart(std::nullopt);
    output.Add(aSecond);
    return output.InSequence() && !output.InsideEvent();
  };
  const std::string two = "id: 4\ndata: a\n\nid: 6\ndata: b\n\n";
  BOOST_TEST(continued(two, "id: 8\ndata: c\n\nid: 10\ndata: d\n\n"));
  BOOST_TEST(continued(two + "id: 8\nda", "id: 8\ndata: c\n\n"));
  BOOST_TEST(!continued(two, "id: 6\ndata: b\n\n"));
  BOOST_TEST(!continued(two, "id: 10\ndata: d\n\n"));
  BOOST_TEST(!continued(two, "id: 8\ndata: c\n\nid: 12\ndata: d\n\n"));
  BOOST_TEST(!continued(two, "data: c\n\n"));
  TurnOutput unnumbered(codec, TurnOutput::Keep::Nothing);
  unnumbered.BeginPart(std::nullopt);
  unnumbered.Add("id: one\ndata: a\n\n");
  BOOST_TEST(!unnumbered.Resume().has_value());
}

// Guards against a log line that names stages which the call has not reached, or none at all.
BOOST_AUTO_TEST_CASE(CallTraceNamesTheStagesThatHaveEnded)
{
  CallTrace trace;
  BOOST_TEST(TraceText(trace) == "");
  trace.mHistory = base::Millis(3);
  trace.mLastReplica = ReplicaTrace{ "i-1", "a", 2, 8, 512, 900, std::nullopt };
  BOOST_TEST(TraceText(trace) ==
             "history_ms=3 replica=i-1 domain=a assumed_load=2.0/8 kept_tokens=512/900 ");
  trace.mLastReplica->mReported = ReportedLoad{ 8, 15, 8 };
  trace.mCommit = base::Millis(150);
  BOOST_TEST(TraceText(trace) == "history_ms=3 commit_ms=150 replica=i-1 domain=a "
                                 "assumed_load=2.0/8 kept_tokens=512/900 reported_load=23 ");
}

// Guards against a replica of a service that never reports its load and counts as more loaded with
// each call that it ever answered: one that had fewer calls would be waited for.
BOOST_AUTO_TEST_CASE(AssumedLoadOfAReplicaThatNeverReportsIsWhatIsInFlight)
{
  ReplicaView replica;
  replica.mSlots = 4;
  replica.mSentSinceReport = 20000;
  replica.mInFlight = 2;
  BOOST_TEST(AssumedLoads(std::vector<ReplicaView>{ replica }).front() == 2);
  replica.mLoad = ReportedLoad{ 1, 0, 4 };
  replica.mSentSinceReport = 3;
  BOOST_TEST(AssumedLoads(std::vector<ReplicaView>{ replica }).front() == 4);
}

// Guards against a request that is taken for another one when it comes again under a new attempt id
// at another gateway, and against two requests that are taken for the same.
BOOST_AUTO_TEST_CASE(RequestHashIsTheSameForTheSamePathAndBody)
{
  namespace http = boost::beast::http;
  CallerRequest request(http::verb::post, "/a/1", 11);
  request.set(http::field::host, "a.example");
  request.set("X-Attempt", "a1");
  request.body() = "text";
  const RequestHash hash = HashOf(request);
  CallerRequest again = request;
  again.set("X-Attempt", "a2");
  BOOST_TEST((HashOf(again) == hash));
  again.body() = "text2";
  BOOST_TEST(HashOf(again).mPath == hash.mPath);
  BOOST_TEST(HashOf(again).mRequest != hash.mRequest);
  again = request;
  again.target("/a/2");
  BOOST_TEST(HashOf(again).mPath != hash.mPath);
  again = request;
  again.method(http::verb::put);
  BOOST_TEST(HashOf(again).mPath != hash.mPath);
}

}

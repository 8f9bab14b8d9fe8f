#include "aggregator.h"

#include "gateway_node.h"
#include "loop_fixture.h"
#include "sycamore/programs/record_codec.h"

namespace sycamore::gateway {

// A failure domain with one strong gateway, which is the aggregator, and weak ones.
struct AggregatorFixture : LoopFixture
{
  static constexpr uint32_t kPartitions = 1;
  // Outweighs the others by far, so that the choice is certain.
  static constexpr uint32_t kStrongLink = 1000000;

  FakeLogStore mShared;
  std::vector<std::unique_ptr<GatewayNode>> mNodes;
  size_t mAppended = 0;
  size_t mFailed = 0;
  int mCaughtUp = 0;

  // Destroys the coroutines before the nodes that they refer to.
  ~AggregatorFixture() { mLoop.stop(); }

  GatewayNode& Aggregating() { return *mNodes[0]; }
  GatewayNode& Follower() { return *mNodes[1]; }

  void AddNodes(size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      mNodes.push_back(std::make_unique<GatewayNode>(
        mLoop, mShared, "g" + std::to_string(i), i == 0 ? kStrongLink : 1, kPartitions));
    }
    std::vector<Member> members;
    for (const auto& node : mNodes) {
      members.push_back(node->mOwn);
    }
    for (const auto& node : mNodes) {
      node->mPaths.SetMembers(members);
    }
  }

  void StartAll()
  {
    for (const auto& node : mNodes) {
      node->Start();
    }
    RunUntil([&] {
      return std::all_of(
        mNodes.begin(), mNodes.end(), [](const auto& aNode) { return aNode->mLogs.Loaded(); });
    });
  }

  static programs::ProgramEvent Turn(const std::string& aAttempt)
  {
    return programs::TurnCompleted{ aAttempt, "p", "", 8, "r", base::Millis(60000) };
  }

  void AppendElsewhere(const programs::ProgramEvent& aEvent)
  {
    mShared.mStreams[StreamName::Programs].push_back(
      programs::EncodeRecord({ base::Millis(1), { aEvent } }));
  }

  boost::asio::awaitable<void> Append(GatewayNode& aNode, std::string aAttempt)
  {
    const auto offset =
      co_await aNode.mLogs.At(0).Append(Turn(aAttempt), base::Clock::now() + base::Seconds(5));
    ++(base::IsOk(offset) ? mAppended : mFailed);
  }

  boost::asio::awaitable<void> CatchUp(GatewayNode& aNode)
  {
    const auto result = co_await aNode.mLogs.At(0).CatchUp(base::Clock::now() + base::Seconds(5));
    mCaughtUp += base::IsOk(result) ? 1 : 0;
  }

  static bool Knows(GatewayNode& aNode, const std::string& aAttempt)
  {
    return aNode.mLogs.Programs().FindTurn(aAttempt) != nullptr;
  }
};

// Guards against appends that grow with the number of gateways: a partition takes one at a time, so
// that 127 gateways with one append each waited 250 ms for their turn. And against a gateway that
// applies its own event only, when the record holds events of others too.
BOOST_FIXTURE_TEST_CASE(AggregatorRecordsOfAllGatewaysShareAppends, AggregatorFixture)
{
  AddNodes(20);
  StartAll();
  mShared.mLatency = base::Millis(50);
  for (size_t i = 0; i < mNodes.size(); ++i) {
    Spawn(Append(*mNodes[i], "t" + std::to_string(i)));
  }
  RunUntil([&] { return mAppended == mNodes.size(); });
  BOOST_TEST(mShared.mAppends <= 3);
  for (const auto& node : mNodes) {
    RunUntil([&] {
      for (size_t i = 0; i < mNodes.size(); ++i) {
        if (!Knows(*node, "t" + std::to_string(i))) {
          return false;
        }
      }
      return true;
    });
  }
}

// Guards against reads that grow with the number of gateways: in a burst the reads of 127 gateways
// took the store's bandwidth, so that neither turns nor the configuration were read in time.
BOOST_FIXTURE_TEST_CASE(AggregatorFollowersDoNotReadTheStore, AggregatorFixture)
{
  AddNodes(8);
  StartAll();
  for (size_t i = 1; i < mNodes.size(); ++i) {
    mNodes[i]->mStore->mReads = 0;
  }
  for (int turn = 0; turn < 10; ++turn) {
    const std::string attempt = "t" + std::to_string(turn);
    AppendElsewhere(Turn(attempt));
    for (const auto& node : mNodes) {
      RunUntil([&] { return Knows(*node, attempt); });
    }
  }
  for (size_t i = 1; i < mNodes.size(); ++i) {
    BOOST_TEST(mNodes[i]->mStore->mReads == 0);
  }
}

// Guards against a false "no such turn": a turn that was recorded before the call must be known
// after it, also if the aggregator had not read it yet.
BOOST_FIXTURE_TEST_CASE(AggregatorFreshReadKnowsWhatWasRecordedBefore, AggregatorFixture)
{
  AddNodes(2);
  StartAll();
  for (int turn = 0; turn < 20; ++turn) {
    const std::string attempt = "t" + std::to_string(turn);
    AppendElsewhere(Turn(attempt));
    const int before = mCaughtUp;
    Spawn(CatchUp(Follower()));
    RunUntil([&] { return mCaughtUp > before; });
    BOOST_TEST_REQUIRE(Knows(Follower(), attempt));
  }
}

// Guards against turns that wait for a frozen aggregator: the first call finds out within its
// limit, the others take another path at once.
BOOST_FIXTURE_TEST_CASE(AggregatorThatIsSilentIsPassedBy, AggregatorFixture)
{
  AddNodes(3);
  Aggregating().mSilent = true;
  Follower().Start();
  RunUntil([&] { return Follower().mLogs.Loaded(); });
  for (int i = 0; i < 5; ++i) {
    const base::TimePoint begin = base::Clock::now();
    const size_t before = mAppended;
    Spawn(Append(Follower(), "t" + std::to_string(i)));
    RunUntil([&] { return mAppended > before; });
    BOOST_TEST((base::Clock::now() - begin < base::Millis(300)));
  }
  BOOST_TEST(mFailed == 0U);
}

// Guards against an aggregator that stays unused after it has come back.
BOOST_FIXTURE_TEST_CASE(AggregatorThatComesBackIsUsedAgain, AggregatorFixture)
{
  AddNodes(2);
  Aggregating().mSilent = true;
  Follower().Start();
  RunUntil([&] { return Follower().mLogs.Loaded(); });
  Aggregating().mSilent = false;
  Aggregating().Start();
  RunUntil([&] {
    AppendElsewhere(Turn("t" + std::to_string(mShared.mStreams[StreamName::Programs].size())));
    const int before = Follower().mStore->mReads;
    const base::TimePoint limit = base::Clock::now() + base::Millis(200);
    while (base::Clock::now() < limit) {
      mLoop.run_one_for(base::Millis(5));
      mLoop.restart();
    }
    return Follower().mStore->mReads == before;
  });
}

// Guards against a planned stop that delays the turns of other gateways: a gateway that stops says
// so.
BOOST_FIXTURE_TEST_CASE(AggregatorThatStopsRefusesAtOnce, AggregatorFixture)
{
  AddNodes(3);
  StartAll();
  Aggregating().mStopping = true;
  const base::TimePoint begin = base::Clock::now();
  Spawn(Append(Follower(), "t"));
  RunUntil([&] { return mAppended == 1; });
  BOOST_TEST((base::Clock::now() - begin < base::Millis(150)));
}

// Guards against turns that are broken off by a planned stop: the gateway that stops records those
// that it still serves, also where it is the aggregator itself.
BOOST_FIXTURE_TEST_CASE(AggregatorThatStopsAppendsItsOwnRecords, AggregatorFixture)
{
  AddNodes(2);
  StartAll();
  Aggregating().mStopping = true;
  Spawn(Append(Aggregating(), "t"));
  RunUntil([&] { return mAppended + mFailed == 1; });
  BOOST_TEST(mAppended == 1U);
}

// Guards against a gateway that takes the part of the history that its aggregator has loaded so far
// for the whole: it would answer "no such turn" or grant a budget that is spent.
BOOST_FIXTURE_TEST_CASE(AggregatorThatIsLoadingIsNotTakenAsComplete, AggregatorFixture)
{
  for (int i = 0; i < 400; ++i) {
    AppendElsewhere(Turn("t" + std::to_string(i)));
  }
  AddNodes(2);
  mShared.mLatency = base::Millis(20);
  Aggregating().Start();
  Follower().Start();
  RunUntil([&] { return Follower().mLogs.Loaded(); });
  for (int i = 0; i < 400; ++i) {
    BOOST_TEST_REQUIRE(Knows(Follower(), "t" + std::to_string(i)));
  }
}

// Guards against gateways that never load the history since their aggregator cannot reach the
// store.
BOOST_FIXTURE_TEST_CASE(AggregatorThatCannotLoadDoesNotHoldUpOthers, AggregatorFixture)
{
  AppendElsewhere(Turn("t0"));
  AddNodes(2);
  Aggregating().mStore->mDown = true;
  Follower().mStopping = true; // Makes no calls for the aggregator.
  Aggregating().Start();
  Follower().Start();
  RunUntil([&] { return Follower().mLogs.Loaded() && Knows(Follower(), "t0"); });
}

// Guards against a process that ends, or a partition that no gateway can read any more, by a record
// that another program sends.
BOOST_FIXTURE_TEST_CASE(AggregatorMalformedRecordIsRefused, AggregatorFixture)
{
  AddNodes(1);
  StartAll();
  std::optional<base::Result<Appended>> appended;
  const auto append = [&]() -> boost::asio::awaitable<void> {
    std::vector<std::string> records{ "no record", "neither" };
    appended = co_await Aggregating().mAggregator.Append(
      StreamName::Programs, std::move(records), base::Millis(500));
  };
  Spawn(append());
  RunUntil([&] { return appended.has_value(); });
  BOOST_TEST(!base::IsOk(*appended));
  BOOST_TEST(mShared.mStreams[StreamName::Programs].empty());
}

// Gateways of which each aggregates another partition.
struct AggregatorPartitionsFixture : LoopFixture
{
  static constexpr uint32_t kPartitions = 4;

  FakeLogStore mShared;
  std::vector<std::unique_ptr<GatewayNode>> mNodes;
};

// Guards against gateways that wait for each other: each loads one partition after the other, and
// each first partition was aggregated by a gateway that loaded it later.
BOOST_FIXTURE_TEST_CASE(AggregatorsOfDifferentPartitionsDoNotWaitForEachOther,
                        AggregatorPartitionsFixture)
{
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    mNodes.push_back(std::make_unique<GatewayNode>(
      mLoop, mShared, "gateway-" + std::to_string(i), 100, kPartitions));
    members.push_back(mNodes.back()->mOwn);
  }
  for (const auto& node : mNodes) {
    node->mPaths.SetMembers(members);
    node->Start();
  }
  RunUntil([&] {
    return std::all_of(
      mNodes.begin(), mNodes.end(), [](const auto& aNode) { return aNode->mLogs.Loaded(); });
  });
}

// Guards against turns that a follower drops too early: an aggregator that cannot read the store
// still serves its copy, which lacks the records that continue them.
BOOST_FIXTURE_TEST_CASE(AggregatorCopyTellsItsAgeWhileTheStoreIsAway, AggregatorFixture)
{
  AddNodes(2);
  AppendElsewhere(Turn("t0"));
  StartAll();
  RunUntil([&] { return Follower().mLogs.CurrentAt() > base::Millis(0); });
  Aggregating().mStore->mDown = true;
  Follower().mStore->mDown = true;
  // Reads that are under way end.
  const base::TimePoint quiet = base::Clock::now() + base::Millis(100);
  RunUntil([&] { return base::Clock::now() > quiet; });
  const base::Millis down = base::TimeOfDay();
  AppendElsewhere(Turn("t1"));
  const base::TimePoint later = base::Clock::now() + base::Seconds(3);
  RunUntil([&] { return base::Clock::now() > later; });
  BOOST_TEST(!Knows(Follower(), "t1"));
  BOOST_TEST((Follower().mLogs.CurrentAt() <= down));
  Aggregating().mStore->mDown = false;
  Follower().mStore->mDown = false;
  RunUntil([&] { return Follower().mLogs.CurrentAt() > down; });
  BOOST_TEST(Knows(Follower(), "t1"));
}

}

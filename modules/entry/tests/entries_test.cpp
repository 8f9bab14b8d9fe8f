// Several entries: forwarding, drain, hand-over, checkpoints.
#include "core_fixture.h"

namespace sycamore::entry::testing {

// Two connected entries that share the partitions, each with the same sidecars.
struct PairFixture : OwnerFixture
{
  PairFixture()
  {
    mOther.GiveTable();
    mOtherEngine = mOther.ConnectSidecar("side-e", 71, "llm", "engine");
    mOtherTool = mOther.ConnectSidecar("side-t", 72, "registry", "tool");
    mPair.Connect();
    mPair.Pass(base::Millis{ 1500 });
  }

  SimEntry mOther{ mLog, "entry-b", 12, mEntry.mNow };
  SimPair mPair{ mEntry, mOther };
  transport::LinkId mOtherEngine = 0;
  transport::LinkId mOtherTool = 0;
};

BOOST_FIXTURE_TEST_SUITE(Entries, PairFixture)

// A living owner keeps its partitions when another entry joins.
BOOST_AUTO_TEST_CASE(EntryThatJoinsDoesNotClaimOwnedPartitions)
{
  mPair.Pass(base::Millis{ 8000 });
  BOOST_TEST(mEntry.Owns(0));
  BOOST_TEST(mEntry.Owns(1));
  BOOST_TEST(mOther.mHeartbeat.partitions.empty());
  BOOST_TEST(mLog.Fold(0).mEpoch == 1u);
}

// Any request may reach any entry.
BOOST_AUTO_TEST_CASE(RequestsAtOtherEntryAreAnsweredByOwner)
{
  const uint64_t created = mOther.Request(
    "POST", "/v1/programs", R"({"account":"acme","region":"r","budget_tokens":99999})");
  mPair.Deliver();
  BOOST_REQUIRE_MESSAGE(mOther.Answer(created).mStatus == 201, mOther.Answer(created).mBody);
  const std::string program(mOther.Answer(created).Json().at("program").as_string());
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(1, "hi", true));
  mPair.Deliver();
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.AnswerModel(mEngine, *dispatch, "hello");
  mPair.Deliver();
  const Received& answer = mOther.Answer(call);
  BOOST_TEST(answer.Complete());
  BOOST_TEST(answer.mContentType == "text/event-stream");
  BOOST_TEST(answer.mBody.find("event: done") != std::string::npos);
  const uint64_t wrong = mOther.Request("POST", Calls(program), ModelBody(7, "hi"));
  mPair.Deliver();
  BOOST_TEST(mOther.Answer(wrong).ErrorCode() == "turn_out_of_order");
}

// A forwarded request whose owner is lost is answered, and may be repeated.
BOOST_AUTO_TEST_CASE(ForwardedRequestAfterLostOwnerIsUncommitted)
{
  const std::string program = mEntry.Create();
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(1, "hi"));
  mPair.Deliver();
  BOOST_REQUIRE(mEntry.Take<wire::DispatchT>(mEngine).has_value());
  mPair.Disconnect();
  BOOST_TEST(mOther.Answer(call).ErrorCode() == "owner_unavailable");
  BOOST_TEST(mOther.Answer(call).Run() == "uncommitted");
}

// The partitions of a dead owner are claimed after the owner timeout; requests wait for that.
BOOST_AUTO_TEST_CASE(RequestAfterOwnerDiedWaitsForTakeover)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mPair.Disconnect();
  const uint64_t call = mOther.Request("POST", Calls(program), ModelBody(2, "next"));
  mOther.Pass(base::Millis{ 2000 });
  BOOST_TEST(!mOther.Owns(0));
  mOther.Pass(base::Millis{ 2000 });
  BOOST_TEST(mOther.Owns(0));
  BOOST_TEST(mOther.Owns(1));
  const auto dispatch = mOther.Take<wire::DispatchT>(mOtherEngine);
  BOOST_REQUIRE(dispatch);
  mOther.AnswerModel(mOtherEngine, *dispatch, "yes");
  BOOST_TEST(mOther.Answer(call).mStatus == 200);
}

// A planned stop aborts nothing: what runs is finished, new calls go to the next owner.
BOOST_AUTO_TEST_CASE(DrainWithCallInFlightFinishesItAndHandsOver)
{
  const std::string program = mEntry.Create();
  const std::string idle = mEntry.Create();
  const uint64_t running = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.Do(DrainRequested{});
  BOOST_TEST(mEntry.Ask("GET", "/readyz").mStatus == 503);
  mPair.Pass(base::Millis{ 1000 });
  BOOST_TEST(!mEntry.mCore->Drained());
  const uint64_t late = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const uint64_t waiting = mEntry.Request("POST", Calls(idle), ModelBody(1, "elsewhere"));
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  BOOST_TEST(mEntry.Answer(running).mStatus == 200);
  BOOST_TEST(mEntry.Answer(late).mStatus == 200);
  mPair.Pass(base::Millis{ 4000 });
  BOOST_TEST(mOther.Owns(0));
  BOOST_TEST(mOther.Owns(1));
  const auto moved = mOther.Take<wire::DispatchT>(mOtherEngine);
  BOOST_REQUIRE(moved);
  BOOST_TEST(moved->body.find("elsewhere") != std::string::npos);
  BOOST_TEST(!mEntry.mCore->Drained());
  mOther.AnswerModel(mOtherEngine, *moved, "done");
  mPair.Deliver();
  BOOST_TEST(mEntry.Answer(waiting).mStatus == 200);
  mPair.Pass(base::Millis{ 500 });
  BOOST_TEST(mEntry.mCore->Drained());
}

BOOST_AUTO_TEST_CASE(DrainOfEntryAloneReleasesItsPartitions)
{
  mPair.Disconnect();
  mEntry.Do(DrainRequested{});
  mEntry.Pass(base::Millis{ 200 });
  BOOST_TEST(mEntry.mCore->Drained());
  BOOST_TEST(mLog.Fold(0).mOwner.empty());
}

// A stop must not wait for a log that is gone.
BOOST_AUTO_TEST_CASE(DrainWithoutLogFinishesAfterSeconds)
{
  mPair.Disconnect();
  mLog.mDown = true;
  mEntry.Do(DrainRequested{});
  mEntry.Pass(base::Millis{ 4000 });
  BOOST_TEST(!mEntry.mCore->Drained());
  mEntry.Pass(base::Millis{ 1500 });
  BOOST_TEST(mEntry.mCore->Drained());
}

BOOST_AUTO_TEST_CASE(InstanceListDialsSidecarsAndLaterEntriesOnly)
{
  mEntry.Do(InstancesRead{ std::vector<world::Instance>{
    { "entry-0", "entry", "lahore-a", "d", "127.0.0.1:10", world::InstanceState::Live },
    { "entry-z", "entry", "lahore-a", "d", "127.0.0.1:11", world::InstanceState::Live },
    { "side-1", "sidecar", "lahore-a", "d", "127.0.0.1:12", world::InstanceState::Live } } });
  BOOST_REQUIRE(mEntry.mDialled.size() == 2);
  BOOST_TEST(mEntry.mDialled[0].mPort == 11);
  BOOST_TEST(mEntry.mDialled[1].mPort == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Durability, OwnerFixture)

// Without checkpoints retention would drop live programs.
BOOST_AUTO_TEST_CASE(CheckpointIsWrittenWithinQuarterOfRetention)
{
  mEntry.mSettings.mRetention = base::Millis{ 40000 };
  const std::string program = mEntry.Create();
  mEntry.Pass(base::Millis{ 10100 });
  BOOST_REQUIRE(!mEntry.mCheckpoints.empty());
  const uint32_t partition = mEntry.mCheckpoints.begin()->first;
  BOOST_TEST(mLog.Fold(partition).mCheckpointOffset == mEntry.mCheckpoints[partition]);
}

// Texts older than half of the retention period must be appended again, or a live program loses its
// history.
BOOST_AUTO_TEST_CASE(OldTurnsOfLiveProgramAreRewritten)
{
  mEntry.mSettings.mRetention = base::Millis{ 40000 };
  const std::string program = mEntry.Create();
  RunModel(program, 1, "first");
  mEntry.Request("POST", Calls(program), KeyedBody(2, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  mEntry.AnswerTool(mTool, *dispatch, "{}");
  const uint32_t partition = program[0] == '0' ? 0 : 1;
  const uint64_t before = mLog.Fold(partition).mNextOffset;
  mEntry.Pass(base::Millis{ 25000 });
  const ledger::PartitionState state = mLog.Fold(partition);
  const ledger::ProgramState& folded = state.mPrograms.begin()->second;
  BOOST_REQUIRE(folded.mTurns.size() == 2);
  BOOST_TEST(folded.mTurns[0].mOffset >= before);
  BOOST_TEST(folded.mTurns[1].mOffset >= before);
  const auto turns =
    mEntry.Ask("GET", "/v1/programs/" + program + "/history").Json().at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 2);
  BOOST_TEST(turns[1].at("request").at("key").as_string() == "k");
}

// The cache is bounded; what it dropped is read from the log.
BOOST_AUTO_TEST_CASE(HistoryBeyondCacheIsReadFromLog)
{
  mEntry.mSettings.mHistoryCacheBytes = 300;
  const std::string program = mEntry.Create();
  for (uint32_t seq = 1; seq <= 30; ++seq) {
    BOOST_REQUIRE(RunModel(program, seq, fmt::format("question{}", seq)).mStatus == 200);
  }
  const auto turns =
    mEntry.Ask("GET", "/v1/programs/" + program + "/history").Json().at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 30);
  BOOST_TEST(turns[0].at("answer").at("content").as_string() == "answer to question1");
  BOOST_TEST(turns[29].at("answer").at("content").as_string() == "answer to question30");
}

// Engine memory of live programs must be held, or the sidecar releases it.
BOOST_AUTO_TEST_CASE(LiveProgramIsHeldAtItsEngine)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "x");
  mEntry.Pass(base::Millis{ 20100 });
  const auto hold = mEntry.Take<wire::HoldT>(mEngine);
  BOOST_REQUIRE(hold);
  BOOST_TEST(hold->programs.size() == 1);
  BOOST_TEST(hold->lease_ms == 60000u);
}

BOOST_AUTO_TEST_CASE(DumpAndMetricsNameTheState)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), ModelBody(1, "x"));
  const auto dump = mEntry.Ask("GET", "/dump").Json();
  BOOST_TEST(dump.at("calls_in_progress").as_int64() == 1);
  BOOST_TEST(dump.at("partitions").at(0).at("phase").as_string() == "owned");
  const std::string& metrics = mEntry.Ask("GET", "/metrics").mBody;
  BOOST_TEST(metrics.find("sycamore_entry_programs_created_total 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}

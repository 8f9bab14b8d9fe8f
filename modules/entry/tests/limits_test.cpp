// Budgets, limits of programs, admission, outages of the log, and age of the table.
#include "core_fixture.h"

namespace sycamore::entry::testing {

BOOST_FIXTURE_TEST_SUITE(Limits, OwnerFixture)

// A call that might exceed the budget must not be dispatched.
BOOST_AUTO_TEST_CASE(CallBeyondBudgetIsNotRun)
{
  const std::string program = mEntry.Create(60);
  const Received& answer = mEntry.Ask("POST", Calls(program), ModelBody(1, "0123456789"));
  BOOST_TEST(answer.mStatus == 402);
  BOOST_TEST(answer.ErrorCode() == "budget_exceeded");
  BOOST_TEST(answer.Run() == "not_run");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A call beyond the reservation made in advance waits for a record of its own.
BOOST_AUTO_TEST_CASE(CallBeyondReservationIsDispatchedAfterReservedRecord)
{
  const std::string program = mEntry.Create(100000);
  mEntry.mHoldLog = true;
  mEntry.Request("POST", Calls(program), ModelBody(1, std::string(5000, 'x')));
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
  mEntry.mHoldLog = false;
  mEntry.Settle();
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// Sub-agents draw on one budget; what an idle parent holds in advance must not starve them.
BOOST_AUTO_TEST_CASE(SubAgentUsesTokensThatItsIdleParentReserved)
{
  const std::string root = mEntry.Create(6000);
  const Received& created =
    mEntry.Ask("POST", "/v1/programs", fmt::format(R"({{"parent":"{}"}})", root));
  BOOST_REQUIRE(created.mStatus == 201);
  const std::string child(created.Json().at("program").as_string());
  mEntry.Request("POST", Calls(child), ModelBody(1, std::string(3000, 'x')));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  // The parent cannot use the same tokens at the same time.
  const Received& parent = mEntry.Ask("POST", Calls(root), ModelBody(1, std::string(3000, 'y')));
  BOOST_TEST(parent.ErrorCode() == "budget_exceeded");
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  const auto state = mEntry.Ask("GET", "/v1/programs/" + root).Json();
  BOOST_TEST(state.at("budget").at("spent").as_int64() == 22);
}

BOOST_AUTO_TEST_CASE(EndOfParentEndsSubAgents)
{
  const std::string root = mEntry.Create();
  const Received& created =
    mEntry.Ask("POST", "/v1/programs", fmt::format(R"({{"parent":"{}"}})", root));
  const std::string child(created.Json().at("program").as_string());
  const uint64_t running = mEntry.Request("POST", Calls(child), ModelBody(1, "x"));
  BOOST_REQUIRE(mEntry.Take<wire::DispatchT>(mEngine).has_value());
  BOOST_TEST(mEntry.Ask("POST", "/v1/programs/" + root + "/end").mStatus == 200);
  BOOST_TEST(mEntry.Answer(running).ErrorCode() == "program_ended");
  BOOST_TEST(mEntry.Answer(running).Run() == "uncommitted");
  BOOST_TEST(mEntry.Take<wire::CallCancelT>(mEngine).has_value());
  BOOST_TEST(mEntry.Ask("GET", "/v1/programs/" + child).Json().at("state").as_string() == "ended");
}

BOOST_AUTO_TEST_CASE(CallBeyondTurnLimitEndsProgram)
{
  const Received& created =
    mEntry.Ask("POST",
               "/v1/programs",
               R"({"account":"acme","region":"lahore-a","budget_tokens":9999999,"max_turns":1})");
  const std::string program(created.Json().at("program").as_string());
  RunModel(program, 1, "x");
  BOOST_TEST(mEntry.Ask("POST", Calls(program), ModelBody(2, "x")).ErrorCode() == "turn_limit");
  const auto state = mEntry.Ask("GET", "/v1/programs/" + program).Json();
  BOOST_TEST(state.at("end_reason").as_string() == "turn_limit");
}

BOOST_AUTO_TEST_CASE(ProgramBeyondTimeAndIdleLimitsEnds)
{
  const Received& first = mEntry.Ask(
    "POST",
    "/v1/programs",
    R"({"account":"acme","region":"lahore-a","budget_tokens":9999,"time_limit_ms":3000})");
  const Received& second = mEntry.Ask(
    "POST",
    "/v1/programs",
    R"({"account":"acme","region":"lahore-a","budget_tokens":9999,"idle_limit_ms":3000})");
  const std::string timed = "/v1/programs/" + std::string(first.Json().at("program").as_string());
  const std::string idle = "/v1/programs/" + std::string(second.Json().at("program").as_string());
  mEntry.Pass(base::Millis{ 2000 });
  BOOST_TEST(mEntry.Ask("GET", timed).Json().at("state").as_string() == "live");
  mEntry.Pass(base::Millis{ 2100 });
  BOOST_TEST(mEntry.Ask("GET", timed).Json().at("end_reason").as_string() == "time_limit");
  BOOST_TEST(mEntry.Ask("GET", idle).Json().at("end_reason").as_string() == "idle_limit");
}

// The end must report non-idempotent calls that are not decided, and follow them to their outcome.
BOOST_AUTO_TEST_CASE(EndWithKeyedCallInFlightReportsItAndRecordsItsOutcome)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(dispatch);
  const auto ended = mEntry.Ask("POST", "/v1/programs/" + program + "/end").Json();
  BOOST_TEST(ended.at("outstanding").at(0).at("outcome").as_string() == "in_progress");
  mEntry.AnswerTool(mTool, *dispatch, "{}");
  const auto state = mEntry.Ask("GET", "/v1/programs/" + program).Json();
  BOOST_TEST(state.at("calls").at(0).at("outcome").as_string() == "answered");
}

struct RowFixture : OwnerFixture
{
  void SetRow(double aRequests, double aTokens, uint32_t aConcurrency)
  {
    table::Table table;
    table.mVersion = 2;
    table::Row row;
    row.mContract = { 1.0, aRequests, aTokens, aConcurrency };
    row.mVersion = 2;
    table.mRows[{ "acme", "*", "*" }] = row;
    mEntry.GiveTable(table);
  }
};

BOOST_FIXTURE_TEST_CASE(CallBeyondConcurrencyIsRefusedUntilOneFinishes, RowFixture)
{
  SetRow(1000, 1e9, 1);
  const std::string first = mEntry.Create();
  const std::string second = mEntry.Create();
  mEntry.Request("POST", Calls(first), ModelBody(1, "x"));
  const Received& refused = mEntry.Ask("POST", Calls(second), ModelBody(1, "x"));
  BOOST_TEST(refused.mStatus == 429);
  BOOST_TEST(refused.ErrorCode() == "concurrency_limit");
  BOOST_TEST((refused.mRetryAfter > base::Millis{ 0 }));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  mEntry.Request("POST", Calls(second), ModelBody(1, "x"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

BOOST_FIXTURE_TEST_CASE(CallBeyondRequestRateIsRefusedWithRetryAfter, RowFixture)
{
  SetRow(0.5, 1e9, 10);
  const std::string program = mEntry.Create();
  RunModel(program, 1, "x");
  const Received& refused = mEntry.Ask("POST", Calls(program), ModelBody(2, "x"));
  BOOST_TEST(refused.ErrorCode() == "request_limit");
  BOOST_TEST((refused.mRetryAfter == base::Millis{ 2000 }));
  mEntry.Pass(base::Millis{ 2000 });
  mEntry.Request("POST", Calls(program), ModelBody(2, "x"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Outage, OwnerFixture)

// Without the log, work that needs a record first is rejected as not run; repeatable calls go on.
BOOST_AUTO_TEST_CASE(LogDownRejectsCreationEndAndKeyedCallsButNotModelCalls)
{
  const std::string program = mEntry.Create();
  mLog.mDown = true;
  mEntry.Do(table::TableEvent(table::TableUnconfirmed{ "down" }));
  const Received& created =
    mEntry.Ask("POST", "/v1/programs", R"({"account":"acme","region":"r","budget_tokens":9})");
  BOOST_TEST(created.ErrorCode() == "log_unavailable");
  BOOST_TEST(created.Run() == "not_run");
  BOOST_TEST(mEntry.Ask("POST", Calls(program), KeyedBody(1, "k")).ErrorCode() ==
             "log_unavailable");
  BOOST_TEST(mEntry.Ask("POST", "/v1/programs/" + program + "/end").ErrorCode() ==
             "log_unavailable");
  const uint64_t model = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  mEntry.Pass(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(model).ErrorCode() == "log_unavailable");
  BOOST_TEST(mEntry.Answer(model).Run() == "uncommitted");
  mLog.mDown = false;
  mEntry.Settle();
  const Received& again = mEntry.Ask("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(again.Json().at("answer").at("content").as_string() == "yes");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

BOOST_AUTO_TEST_CASE(CallBeyondUncommittedBytesIsNotRun)
{
  const std::string program = mEntry.Create();
  mEntry.mLedger.mPendingBytes = size_t{ 8 } << 20;
  const Received& answer = mEntry.Ask("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(answer.ErrorCode() == "log_unavailable");
  BOOST_TEST(answer.Run() == "not_run");
}

// A ledger without room must delay a commit, not lose it.
BOOST_AUTO_TEST_CASE(CommitWhileLedgerIsFullIsTriedAgain)
{
  const std::string program = mEntry.Create();
  const uint64_t request = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  mEntry.mLedger.mFull = true;
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  mEntry.Pass(base::Millis{ 500 });
  BOOST_TEST(!mEntry.Answer(request).Complete());
  mEntry.mLedger.mFull = false;
  mEntry.Pass(base::Millis{ 100 });
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// An old table must not admit work for ever.
BOOST_AUTO_TEST_CASE(TableWithoutConfirmationExpiresAfterPeersLimit)
{
  const std::string program = mEntry.Create();
  mEntry.Pass(base::Millis{ 8000 });
  mEntry.Request("POST", Calls(program), ToolBody(1, "x"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mTool).has_value());
  mEntry.Pass(base::Millis{ 293000 });
  const std::string other = mEntry.Ask("POST", Calls(program), ToolBody(1, "x")).ErrorCode();
  BOOST_TEST(other == "config_stale");
}

BOOST_AUTO_TEST_CASE(TableWithoutConfirmationAndPeersExpiresAfterShortLimit)
{
  const std::string program = mEntry.Create();
  mEntry.Disconnect(mEngine);
  mEntry.Disconnect(mTool);
  mEntry.Pass(base::Millis{ 7100 });
  const Received& answer = mEntry.Ask("POST", Calls(program), ToolBody(1, "x"));
  BOOST_TEST(answer.ErrorCode() == "config_stale");
  BOOST_TEST(answer.Run() == "not_run");
}

// A peer that confirmed the same version renews the age; a lower version gets the table.
BOOST_AUTO_TEST_CASE(PeerWithSameVersionRenewsAgeAndLowerVersionGetsTable)
{
  mEntry.Pass(base::Millis{ 6000 });
  wire::HeartbeatT beat;
  beat.config_version = 1;
  beat.config_age_ms = 500;
  mEntry.Frame(mTool, wire::MakeFrame(wire::HeartbeatT(beat)));
  mEntry.Pass(base::Millis{ 1000 });
  BOOST_TEST(mEntry.mHeartbeat.config_age_ms <= 1600u);
  while (mEntry.Take<wire::ConfigPushT>(mTool)) {
  }
  beat.config_version = 0;
  mEntry.Frame(mTool, wire::MakeFrame(wire::HeartbeatT(beat)));
  const auto push = mEntry.Take<wire::ConfigPushT>(mTool);
  BOOST_REQUIRE(push);
  BOOST_TEST(push->version == 1u);
}

// A table must never revert to a lower version.
BOOST_AUTO_TEST_CASE(PushOfLowerVersionIsIgnored)
{
  table::Table old;
  wire::ConfigPushT push;
  push.version = 0;
  push.json = table::ToJson(old);
  mEntry.Frame(mTool, wire::MakeFrame(std::move(push)));
  BOOST_TEST(mEntry.Ask("GET", "/v1/table").Json().at("version").as_int64() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}

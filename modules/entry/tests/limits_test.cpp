// Budgets, limits of programs, admission, log outages, and the age of the configuration table.
#include "core_fixture.h"

namespace sycamore::entry::testing {

BOOST_FIXTURE_TEST_SUITE(Limits, OwnerFixture)

// A call whose upper bound of tokens exceeds the remaining budget must be refused before dispatch,
// or the program could overspend.
BOOST_AUTO_TEST_CASE(CallBeyondBudgetIsNotRun)
{
  const std::string program = mEntry.Create(60);
  const Received& answer = mEntry.Ask("POST", Calls(program), ModelBody(1, "0123456789"));
  BOOST_TEST(answer.mStatus == 402);
  BOOST_TEST(answer.ErrorCode() == "budget_exceeded");
  BOOST_TEST(answer.Run() == "not_run");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A call that needs more tokens than the program has reserved in advance must wait until a further
// reservation is committed. Otherwise a new owner would not count its tokens.
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

// Sub-agents share the budget of their root. Tokens that an idle parent has reserved in advance
// must be available to them, or they are refused although budget is left.
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

// A sub-agent must not go on and use tokens after its parent has ended: its call in flight is
// cancelled and answered, and the sub-agent ends too.
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

// A program at its turn limit must end and record the reason, or an agent in a loop would run on.
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

// A program past its time limit or idle limit must end by itself, or abandoned programs would hold
// their resources for ever.
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
  mEntry.AdvanceTime(base::Millis{ 2000 });
  BOOST_TEST(mEntry.Ask("GET", timed).Json().at("state").as_string() == "live");
  mEntry.AdvanceTime(base::Millis{ 2100 });
  BOOST_TEST(mEntry.Ask("GET", timed).Json().at("end_reason").as_string() == "time_limit");
  BOOST_TEST(mEntry.Ask("GET", idle).Json().at("end_reason").as_string() == "idle_limit");
}

// When a program ends while a non-idempotent call is in flight, the answer must list the call, and
// its later outcome must be recorded. Otherwise nobody could learn whether the call ran.
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
    mEntry.ConfirmTable(table);
  }
};

// An account must not run more calls at a time than its row allows, and a finished call must free
// its slot.
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

// A refusal for the request rate must give the time until the next request is admitted. A shorter
// time makes callers retry in vain, a longer one wastes their rate.
BOOST_FIXTURE_TEST_CASE(CallBeyondRequestRateIsRefusedWithRetryAfter, RowFixture)
{
  SetRow(0.5, 1e9, 10);
  const std::string program = mEntry.Create();
  RunModel(program, 1, "x");
  const Received& refused = mEntry.Ask("POST", Calls(program), ModelBody(2, "x"));
  BOOST_TEST(refused.ErrorCode() == "request_limit");
  BOOST_TEST((refused.mRetryAfter == base::Millis{ 2000 }));
  mEntry.AdvanceTime(base::Millis{ 2000 });
  mEntry.Request("POST", Calls(program), ModelBody(2, "x"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Outage, OwnerFixture)

// While the log is down, operations that need a record first must be refused as not run at once.
// Model calls still run; their answers are withheld until the log has committed them, and a
// repeated request after the outage must get the answer without a second run.
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
  mEntry.AdvanceTime(base::Millis{ 10100 });
  BOOST_TEST(mEntry.Answer(model).ErrorCode() == "log_unavailable");
  BOOST_TEST(mEntry.Answer(model).Run() == "uncommitted");
  mLog.mDown = false;
  mEntry.Settle();
  const Received& again = mEntry.Ask("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(again.Json().at("answer").at("content").as_string() == "yes");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// When the log is slow, turns that wait for their commit fill the memory. Beyond the limit of
// pending bytes new calls must be refused before they run.
BOOST_AUTO_TEST_CASE(CallBeyondUncommittedByteLimitIsNotRun)
{
  const std::string program = mEntry.Create();
  mEntry.mLedger.mPendingBytes = size_t{ 8 } << 20;
  const Received& answer = mEntry.Ask("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(answer.ErrorCode() == "log_unavailable");
  BOOST_TEST(answer.Run() == "not_run");
}

// A ledger whose queue is full refuses an append. The commit must be tried again later, or the
// answer is lost.
BOOST_AUTO_TEST_CASE(CommitWhileLedgerIsFullIsTriedAgain)
{
  const std::string program = mEntry.Create();
  const uint64_t request = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  mEntry.mLedger.mFull = true;
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  mEntry.AdvanceTime(base::Millis{ 500 });
  BOOST_TEST(!mEntry.Answer(request).Complete());
  mEntry.mLedger.mFull = false;
  mEntry.AdvanceTime(base::Millis{ 100 });
  BOOST_TEST(mEntry.Answer(request).mStatus == 200);
}

// An entry cut off from the log must not admit calls by an outdated table for ever. With peers
// connected the longer age limit applies.
BOOST_AUTO_TEST_CASE(TableWithoutConfirmationExpiresAfterLongLimitWithPeers)
{
  const std::string program = mEntry.Create();
  mEntry.AdvanceTime(base::Millis{ 8000 });
  mEntry.Request("POST", Calls(program), ToolBody(1, "x"));
  BOOST_TEST(mEntry.Take<wire::DispatchT>(mTool).has_value());
  mEntry.AdvanceTime(base::Millis{ 293000 });
  const std::string other = mEntry.Ask("POST", Calls(program), ToolBody(1, "x")).ErrorCode();
  BOOST_TEST(other == "config_stale");
}

// An entry without peers cannot learn of a newer table, so the shorter age limit must apply.
BOOST_AUTO_TEST_CASE(TableWithoutConfirmationAndPeersExpiresAfterShortLimit)
{
  const std::string program = mEntry.Create();
  mEntry.Disconnect(mEngine);
  mEntry.Disconnect(mTool);
  mEntry.AdvanceTime(base::Millis{ 7100 });
  const Received& answer = mEntry.Ask("POST", Calls(program), ToolBody(1, "x"));
  BOOST_TEST(answer.ErrorCode() == "config_stale");
  BOOST_TEST(answer.Run() == "not_run");
}

// Heartbeats carry the table version and its age. A peer that confirmed the same version recently
// must renew the age here, and a peer with a lower version must be sent the table, or it keeps the
// old one.
BOOST_AUTO_TEST_CASE(PeerWithSameVersionRenewsAgeAndLowerVersionGetsTable)
{
  mEntry.AdvanceTime(base::Millis{ 6000 });
  wire::HeartbeatT beat;
  beat.config_version = 1;
  beat.config_age_ms = 500;
  mEntry.Frame(mTool, wire::MakeFrame(wire::HeartbeatT(beat)));
  mEntry.AdvanceTime(base::Millis{ 1000 });
  BOOST_TEST(mEntry.mHeartbeat.config_age_ms <= 1600u);
  while (mEntry.Take<wire::ConfigPushT>(mTool)) {
  }
  beat.config_version = 0;
  mEntry.Frame(mTool, wire::MakeFrame(wire::HeartbeatT(beat)));
  const auto push = mEntry.Take<wire::ConfigPushT>(mTool);
  BOOST_REQUIRE(push);
  BOOST_TEST(push->version == 1u);
}

// A delayed push of an older table must not replace a newer one, which would undo an edit.
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

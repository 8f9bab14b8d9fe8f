// Order of calls, repeated requests, keys and invalid input.
#include "core_fixture.h"

namespace sycamore::entry::testing {

BOOST_FIXTURE_TEST_SUITE(CallOrder, OwnerFixture)

// A call that skips a sequence number must be refused, or the history would have a gap.
BOOST_AUTO_TEST_CASE(CallWithSkippedSeqIsOutOfOrder)
{
  const std::string program = mEntry.Create();
  const Received& answer = mEntry.Ask("POST", Calls(program), ModelBody(2, "x"));
  BOOST_TEST(answer.mStatus == 409);
  BOOST_TEST(answer.ErrorCode() == "turn_out_of_order");
  BOOST_TEST(answer.Run() == "not_run");
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A caller that lost the answer repeats the request. It must get the committed answer, and the call
// must not run again.
BOOST_AUTO_TEST_CASE(RepeatedSeqWithSameBodyGetsCommittedAnswer)
{
  const std::string program = mEntry.Create();
  const std::string first = RunModel(program, 1, "hi").mBody;
  const Received& again = mEntry.Ask("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(again.mBody == first);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
}

// A different call under a committed sequence number must be refused. Answering it from the record
// would give the caller the answer to another call.
BOOST_AUTO_TEST_CASE(RepeatedSeqWithOtherBodyIsRefused)
{
  const std::string program = mEntry.Create();
  RunModel(program, 1, "hi");
  const Received& other = mEntry.Ask("POST", Calls(program), ModelBody(1, "other"));
  BOOST_TEST(other.ErrorCode() == "turn_out_of_order");
}

// A request repeated while its call is in flight must not run the call twice: both requests share
// one dispatch, and each gets the whole answer.
BOOST_AUTO_TEST_CASE(RepeatedRequestWhileInFlightSharesDispatch)
{
  const std::string program = mEntry.Create();
  const uint64_t first = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const uint64_t second = mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  const Received& third = mEntry.Ask("POST", Calls(program), ModelBody(1, "other"));
  BOOST_TEST(third.ErrorCode() == "call_in_flight");
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mEngine).has_value());
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  BOOST_TEST(mEntry.Answer(first).mStatus == 200);
  BOOST_TEST(mEntry.Answer(second).mBody == mEntry.Answer(first).mBody);
}

// A stream that joins a running call must also get the earlier events. One that resumes after an
// event must get only later events, and one whose event ID belongs to another attempt must be
// reset.
BOOST_AUTO_TEST_CASE(StreamThatJoinsLateGetsMissingEvents)
{
  const std::string program = mEntry.Create();
  const uint64_t first = mEntry.Request("POST", Calls(program), ModelBody(1, "hi", true));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  BOOST_REQUIRE(dispatch);
  wire::CallTokenT token;
  token.call = std::make_unique<wire::CallIdT>(*dispatch->call);
  token.attempt = dispatch->attempt;
  token.text = "one";
  mEntry.Frame(mEngine, wire::MakeFrame(wire::CallTokenT(token)));
  const uint64_t second = mEntry.Request("POST", Calls(program), ModelBody(1, "hi", true));
  const uint64_t resumed = mEntry.Resume(Calls(program) + "/1/events", "1.0");
  const uint64_t foreign = mEntry.Resume(Calls(program) + "/1/events", "7.0");
  mEntry.AnswerModel(mEngine, *dispatch, "one two");
  BOOST_TEST(mEntry.Answer(second).mBody == mEntry.Answer(first).mBody);
  BOOST_TEST(mEntry.Answer(resumed).mBody.find(R"("one")") == std::string::npos);
  BOOST_TEST(mEntry.Answer(resumed).mBody.find(R"(" two")") != std::string::npos);
  BOOST_TEST(mEntry.Answer(foreign).mBody.starts_with("event: reset"));
  BOOST_TEST(mEntry.Answer(foreign).mBody.find(R"("one")") != std::string::npos);
}

// A stream for a call that does not exist must fail at once and not wait for events that never
// come.
BOOST_AUTO_TEST_CASE(EventsOfUnknownCallAreNotFound)
{
  const std::string program = mEntry.Create();
  const Received& answer = mEntry.Answer(mEntry.Resume(Calls(program) + "/1/events", ""));
  BOOST_TEST(answer.mStatus == 404);
  BOOST_TEST(answer.ErrorCode() == "call_not_found");
}

// A key identifies one non-idempotent call for the whole program. Another body under the same key
// must be refused, and the same body under a new sequence number must get the recorded answer.
BOOST_AUTO_TEST_CASE(KeyReusedWithOtherBodyIsRefused)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(mEntry.Ask("POST", Calls(program), KeyedBody(1, "k", "b")).ErrorCode() ==
             "key_reused");
  mEntry.AnswerTool(mTool, *dispatch, "{}");
  BOOST_TEST(mEntry.Ask("POST", Calls(program), KeyedBody(2, "k", "b")).ErrorCode() ==
             "key_reused");
  const Received& same = mEntry.Ask("POST", Calls(program), KeyedBody(2, "k"));
  BOOST_TEST(same.mStatus == 200);
  BOOST_TEST(same.Json().at("seq").as_int64() == 1);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mTool).has_value());
}

// Requests repeated while a non-idempotent call is in flight must not dispatch it again.
BOOST_AUTO_TEST_CASE(KeyedCallInFlightIsSharedByRepeatedRequests)
{
  const std::string program = mEntry.Create();
  const uint64_t first = mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  const uint64_t second = mEntry.Request("POST", Calls(program), KeyedBody(1, "k"));
  const auto dispatch = mEntry.Take<wire::DispatchT>(mTool);
  BOOST_REQUIRE(dispatch);
  BOOST_TEST(!mEntry.Take<wire::DispatchT>(mTool).has_value());
  mEntry.AnswerTool(mTool, *dispatch, "{}");
  BOOST_TEST(mEntry.Answer(first).mStatus == 200);
  BOOST_TEST(mEntry.Answer(second).mStatus == 200);
}

// A caller that lost its connection asks for the call. It must see the call as running, and then
// its answer.
BOOST_AUTO_TEST_CASE(GetOfCallReturnsStateWhileRunningAndAnswerAfterCommit)
{
  const std::string program = mEntry.Create();
  mEntry.Request("POST", Calls(program), ModelBody(1, "hi"));
  BOOST_TEST(mEntry.Ask("GET", Calls(program) + "/1").Json().at("state").as_string() == "running");
  const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
  mEntry.AnswerModel(mEngine, *dispatch, "yes");
  const auto answer = mEntry.Ask("GET", Calls(program) + "/1").Json();
  BOOST_TEST(answer.at("answer").at("content").as_string() == "yes");
}

BOOST_AUTO_TEST_SUITE_END()

// Invalid input must be refused with a specific error code and the name of the field, and must not
// change any state.
struct InvalidInputFixture : OwnerFixture
{
  void Check(const std::string& aPath,
             const std::string& aBody,
             const std::string& aCode,
             const std::string& aField)
  {
    const Received& answer = mEntry.Ask("POST", aPath, aBody);
    BOOST_TEST(answer.ErrorCode() == aCode, aBody + " -> " + answer.mBody);
    BOOST_TEST(answer.Json().at("error").at("field").as_string() == aField, answer.mBody);
  }
};

BOOST_FIXTURE_TEST_SUITE(InvalidInput, InvalidInputFixture)

// The creation of a program with a missing, invalid or unknown field must name that field, or the
// caller cannot correct it.
BOOST_AUTO_TEST_CASE(CreationWithInvalidFieldNamesField)
{
  const std::string path = "/v1/programs";
  Check(path, "", "malformed_body", "");
  Check(path, "[1]", "malformed_body", "");
  Check(path, R"({"region":"r","budget_tokens":1})", "invalid_field", "account");
  Check(path, R"({"account":"acme","region":7,"budget_tokens":1})", "invalid_field", "region");
  Check(path,
        R"({"account":"acme","region":"r","budget_tokens":-1})",
        "invalid_field",
        "budget_tokens");
  Check(path, R"({"account":"acme","region":"r"})", "invalid_field", "budget_tokens");
  Check(path,
        R"({"account":"acme","region":"r","budget_tokens":1,"max_turns":0})",
        "invalid_field",
        "max_turns");
  Check(path,
        R"({"account":"acme","region":"r","budget_tokens":1,"colour":"red"})",
        "invalid_field",
        "colour");
  Check(
    path, R"({"account":"nobody","region":"r","budget_tokens":1})", "unknown_account", "account");
  Check(path, R"({"parent":"x"})", "invalid_field", "parent");
  Check(path, R"({"parent":"0-0-000000000000001f"})", "unknown_program", "parent");
}

// A call with an invalid field must name that field and must not use up its sequence number.
BOOST_AUTO_TEST_CASE(CallWithInvalidFieldNamesField)
{
  const std::string path = Calls(mEntry.Create());
  Check(path, "{", "malformed_body", "");
  Check(path, R"({"kind":"model"})", "invalid_field", "seq");
  Check(path, R"({"seq":0,"kind":"model","service":"llm"})", "invalid_field", "seq");
  Check(path, R"({"seq":1,"kind":"dance","service":"llm"})", "invalid_field", "kind");
  Check(path,
        R"({"seq":1,"kind":"model","service":"llm","max_tokens":5})",
        "invalid_field",
        "messages");
  Check(path,
        R"({"seq":1,"kind":"model","service":"llm","max_tokens":5,"messages":[{"role":"user"}]})",
        "invalid_field",
        "messages/0/content");
  Check(path,
        R"({"seq":1,"kind":"model","service":"llm","messages":[{"role":"user","content":"x"}]})",
        "invalid_field",
        "max_tokens");
  Check(
    path,
    R"({"seq":1,"kind":"tool","service":"registry","tool":"../x","arguments":{},"repeatable":true})",
    "invalid_field",
    "tool");
  Check(
    path,
    R"({"seq":1,"kind":"tool","service":"registry","tool":"x","arguments":3,"repeatable":true})",
    "invalid_field",
    "arguments");
  Check(
    path,
    R"({"seq":1,"kind":"tool","service":"registry","tool":"x","arguments":{},"repeatable":false})",
    "key_missing",
    "key");
  Check(path,
        R"({"seq":1,"kind":"tool","service":"llm","tool":"x","arguments":{},"repeatable":true})",
        "invalid_field",
        "kind");
  const Received& program = mEntry.Ask("GET", path.substr(0, path.rfind('/')));
  BOOST_TEST(program.Json().at("next_seq").as_int64() == 1);
}

// Shortly after the start an unknown service may only mean that its sidecar has not connected yet.
// After that time the error must say that the service is unknown.
BOOST_AUTO_TEST_CASE(UnknownServiceAfterStartupTimeIsReportedAsUnknown)
{
  const std::string path = Calls(mEntry.Create());
  mEntry.AdvanceTime(base::Millis{ 3000 });
  Check(path,
        R"({"seq":1,"kind":"tool","service":"none","tool":"x","arguments":{},"repeatable":true})",
        "unknown_service",
        "service");
}

// An unknown path, a wrong method and an unknown program must have different error codes, or the
// caller cannot tell its own mistake from a lost program.
BOOST_AUTO_TEST_CASE(UnknownPathMethodAndProgramHaveSpecificErrors)
{
  BOOST_TEST(mEntry.Ask("GET", "/v2/programs").ErrorCode() == "unknown_route");
  BOOST_TEST(mEntry.Ask("GET", "/v1/programs").ErrorCode() == "method_not_allowed");
  BOOST_TEST(mEntry.Ask("GET", "/v1/programs/zzz").ErrorCode() == "unknown_program");
  BOOST_TEST(mEntry.Ask("GET", "/v1/programs/9-0-1").ErrorCode() == "unknown_program");
  BOOST_TEST(mEntry.Ask("GET", "/v1/programs/0-0-1").ErrorCode() == "unknown_program");
}

// An edit of the table with an invalid or missing field must be refused before it reaches the log,
// and a valid one must return the version that it created.
BOOST_AUTO_TEST_CASE(RowEditWithInvalidFieldIsNotSubmitted)
{
  const std::string path = "/v1/table/rows/acme/lahore-a/llm";
  const Received& missing = mEntry.Ask("PUT", path, R"({"base_version":0,"weight":1})");
  BOOST_TEST(missing.ErrorCode() == "invalid_edit");
  const Received& weight = mEntry.Ask(
    "PUT",
    path,
    R"({"base_version":0,"weight":0,"requests_per_s":1,"tokens_per_s":1,"concurrency":1})");
  BOOST_TEST(weight.ErrorCode() == "invalid_edit");
  BOOST_TEST(mEntry.Ask("DELETE", path, R"({"base_version":1})").ErrorCode() == "unknown_row");
  BOOST_TEST(mEntry.mEdits.empty());
  const uint64_t good = mEntry.Request(
    "PUT",
    path,
    R"({"base_version":0,"weight":2,"requests_per_s":1,"tokens_per_s":1,"concurrency":1})");
  BOOST_REQUIRE(mEntry.mEdits.size() == 1);
  mEntry.Do(table::TableEvent(table::EditDone{ mEntry.mEdits[0].second, uint64_t{ 5 } }));
  BOOST_TEST(mEntry.Answer(good).Json().at("version").as_int64() == 5);
}

BOOST_AUTO_TEST_SUITE_END()

}

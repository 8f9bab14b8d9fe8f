#include "system_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::system {

// Invalid requests, limits and retention.
struct LimitsFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 2;
    options.mEngineSidecars = 1;
    options.mToolSidecars = 1;
    return options;
  }

  // The first retained or the next offset of a log stream.
  uint64_t LogOffset(const std::string& aStream, const char* aName) const
  {
    return testbed::Cluster::Read(mCluster->Log(), aStream + "?from=0&max_records=1")
      .at(aName)
      .to_number<uint64_t>();
  }

  CallAnswer Post(const std::string& aPath, const boost::json::object& aBody)
  {
    Caller caller = MakeCaller();
    const auto answer = caller.Send(0, "POST", aPath, aBody);
    BOOST_REQUIRE(answer);
    return *answer;
  }
};

// Guards against invalid requests that run, change state or get an error without code and field.
BOOST_FIXTURE_TEST_CASE(RequestsThatAreInvalidAreRefusedWithCodeAndField, LimitsFixture)
{
  Start(Options());
  auto unknown = ProgramBody(1000);
  unknown["account"] = "nobody";
  BOOST_TEST(Post("/v1/programs", unknown).Code() == "unknown_account");
  BOOST_TEST(Post(CallsPath("0-1-00000000000000aa"), ModelBody(1, "x", 4)).mStatus == 404);
  const std::string program = CreateProgram();
  const auto early = Post(CallsPath(program), ModelBody(5, "x", 4));
  BOOST_TEST(early.Code() == "turn_out_of_order");
  BOOST_TEST(early.Run() == "not_run");
  auto noTokens = ModelBody(1, "x", 4);
  noTokens["max_tokens"] = -4;
  const auto invalid = Post(CallsPath(program), noTokens);
  BOOST_TEST(invalid.Code() == "invalid_field");
  BOOST_TEST(invalid.mBody.at("error").at("field").as_string() == "max_tokens");
  auto service = ModelBody(1, "x", 4);
  service["service"] = "no-such-service";
  // An entry that has just started may not know all services yet and answers with a retryable
  // error.
  Caller caller = MakeCaller();
  const auto noService = caller.Complete("POST", CallsPath(program), service, kTestTimeout);
  BOOST_REQUIRE(noService);
  BOOST_TEST(noService->Code() == "unknown_service");
  auto keyless = ToolBody(1, program, "k");
  keyless.erase("key");
  BOOST_TEST(Post(CallsPath(program), keyless).Code() == "key_missing");
  BOOST_TEST(Post(CallsPath(program), ModelBody(1, "x", 4)).Ok());
}

// Guards against a second run, or a second answer, for one key or one sequence number.
BOOST_FIXTURE_TEST_CASE(RequestsThatAreRepeatedGetTheRecordedAnswer, LimitsFixture)
{
  Start(Options());
  const std::string program = CreateProgram();
  const auto body = ToolBody(1, program, "deposit-1");
  const auto first = Post(CallsPath(program), body);
  BOOST_REQUIRE(first.Ok());
  Caller caller = MakeCaller();
  const auto second = caller.Send(1, "POST", CallsPath(program), body);
  BOOST_REQUIRE((second && second->Ok()));
  BOOST_TEST((second->mBody.at("answer") == first.mBody.at("answer")));
  BOOST_TEST(RunsOf(program, "deposit-1") == 1U);
  auto other = body;
  other["tool"] = "take-deposit";
  BOOST_TEST(Post(CallsPath(program), other).Code() == "key_reused");
  BOOST_TEST(RunsOf(program, "deposit-1") == 1U);
}

// Guards against sub-agents that exceed their shared budget by calls in parallel.
BOOST_FIXTURE_TEST_CASE(BudgetWithParallelSubAgentsIsNeverExceeded, LimitsFixture)
{
  Start(Options());
  const uint64_t budget = 300;
  const std::string root = CreateProgram(budget);
  std::vector<std::thread> agents;
  std::atomic<int> refused{ 0 };
  for (size_t i = 0; i < 8; ++i) {
    agents.emplace_back([&, i] {
      Caller caller = MakeCaller();
      auto body = ProgramBody(0);
      body.erase("budget_tokens");
      body["parent"] = root;
      const auto child = caller.Complete("POST", "/v1/programs", body, kTestTimeout);
      if (!child || !child->Ok()) {
        ++refused;
        return;
      }
      const std::string id(child->mBody.at("program").as_string());
      for (uint32_t seq = 1; seq <= 6; ++seq) {
        const auto answer = caller.Send(i % 2, "POST", CallsPath(id), ModelBody(seq, "go on", 10));
        if (!answer || !answer->Ok()) {
          ++refused;
          return;
        }
      }
    });
  }
  for (auto& agent : agents) {
    agent.join();
  }
  BOOST_TEST(refused > 0);
  Caller caller = MakeCaller();
  const auto shown = caller.Complete("GET", "/v1/programs/" + root, {}, kTestTimeout);
  BOOST_REQUIRE((shown && shown->Ok()));
  BOOST_TEST(shown->mBody.at("budget").at("spent").to_number<uint64_t>() <= budget);
  uint64_t generated = 0;
  const auto stats = testbed::Cluster::Stats(mCluster->Target(0));
  for (const auto& program : stats.at("programs").as_object()) {
    generated += program.value().at("generated_tokens").to_number<uint64_t>();
  }
  BOOST_TEST(generated <= budget);
}

// Guards against programs that make calls in an endless loop.
BOOST_FIXTURE_TEST_CASE(ProgramThatLoopsEndsAtItsTurnLimit, LimitsFixture)
{
  Start(Options());
  Caller caller = MakeCaller();
  auto body = ProgramBody(100000);
  body["max_turns"] = 3;
  const auto created = caller.Complete("POST", "/v1/programs", body, kTestTimeout);
  BOOST_REQUIRE((created && created->Ok()));
  const std::string program(created->mBody.at("program").as_string());
  for (uint32_t seq = 1; seq <= 3; ++seq) {
    BOOST_TEST(Post(CallsPath(program), ToolBody(seq, program, "")).Ok());
  }
  const auto over = Post(CallsPath(program), ToolBody(4, program, ""));
  BOOST_TEST((over.Code() == "turn_limit" || over.Code() == "program_ended"));
  BOOST_TEST(WaitUntil([&] {
    const auto shown = caller.Send(0, "GET", "/v1/programs/" + program);
    return shown && shown->mBody.at("state").as_string() == "ended" &&
           shown->mBody.at("end_reason").as_string() == "turn_limit";
  }));
}

// Guards against a hung tool that blocks its program for ever, and against a second run of its
// call.
BOOST_FIXTURE_TEST_CASE(ToolThatHangsIsReportedAsUnknownAtTheDeadline, LimitsFixture)
{
  Start(Options());
  const std::string program = CreateProgram();
  BOOST_REQUIRE(InjectFault(
    mCluster->Target(1),
    { { "kind", "hang" }, { "method", "POST" }, { "path", "/tools/" }, { "count", 1 } }));
  auto body = ToolBody(1, program, "notice-1");
  body["deadline_ms"] = 1500;
  const auto answer = Post(CallsPath(program), body);
  BOOST_TEST(answer.Code() == "outcome_unknown");
  BOOST_TEST(answer.Run() == "unknown");
  BOOST_TEST(RunsOf(program, "notice-1") <= 1U);
  const auto next = Post(CallsPath(program), ToolBody(2, program, ""));
  BOOST_TEST(next.Ok());
}

// Guards against history and keys that expire with the retention of the log while the program is
// live.
BOOST_FIXTURE_TEST_CASE(HistoryOfLiveProgramOutlivesTheRetentionOfTheLog, LimitsFixture)
{
  auto options = Options();
  options.mLogFlags = { "--retain_age_ms=8000" };
  options.mEntrySettings = { { "retention_ms", 8000 }, { "history_cache_bytes", 65536 } };
  Start(std::move(options));
  const std::string program = CreateProgram();
  const auto first = Post(CallsPath(program), ModelBody(1, "the first question", 8));
  BOOST_REQUIRE(first.Ok());
  BOOST_REQUIRE(Post(CallsPath(program), ToolBody(2, program, "deposit-1")).Ok());
  const std::string stream = fmt::format("/streams/partition-{:02}", std::stoul(program));
  const auto head = LogOffset(stream, "next");
  BOOST_REQUIRE(WaitUntil([&] { return LogOffset(stream, "first") >= head; }));
  const auto owner = OwnerOf(program);
  BOOST_REQUIRE(owner);
  mCluster->EntryProcess(*owner).Kill();
  Caller caller = MakeCaller();
  const auto history =
    caller.Complete("GET", "/v1/programs/" + program + "/history", {}, kTestTimeout);
  BOOST_REQUIRE((history && history->Ok()));
  const auto& turns = history->mBody.at("turns").as_array();
  BOOST_REQUIRE(turns.size() == 2U);
  BOOST_TEST((turns[0].at("answer") == first.mBody.at("answer")));
  const auto again =
    caller.Complete("POST", CallsPath(program), ToolBody(2, program, "deposit-1"), kTestTimeout);
  BOOST_TEST((again && again->Ok()));
  BOOST_TEST(RunsOf(program, "deposit-1") == 1U);
}

}

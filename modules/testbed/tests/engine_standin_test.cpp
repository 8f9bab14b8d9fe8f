#include "sycamore/testbed/engine_standin.h"

#include "port_fixture.h"

#include "sycamore/testbed/answer_text.h"
#include "sycamore/testbed/json.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::testbed {

namespace json = boost::json;

// Speeds that make the durations of the tests round: 10 ms per decoded token, 1 ms per prompt
// token.
static EngineSettings
TestSettings()
{
  EngineSettings settings;
  settings.mDecodeTokensPerSecond = 100;
  settings.mBatchSlowdown = 0.5;
  settings.mPrefillTokensPerSecond = 1000;
  settings.mPrefillChunkTokens = 1000;
  settings.mCacheTokens = 1000;
  settings.mEventGap = 0;
  return settings;
}

struct EngineStandinFixture : PortFixture
{
  EngineStandinFixture() { Use(std::make_unique<EngineStandin>(TestSettings())); }

  // Starts a call of a program with the messages given so far in mHistory plus aContent.
  uint64_t Start(const std::string& aProgram, const std::string& aContent, json::object aExtra = {})
  {
    json::array messages = mHistory;
    messages.push_back(json::object{ { "role", "user" }, { "content", aContent } });
    mLast = messages;
    json::object body{ { "messages", messages }, { "max_tokens", 4 }, { "program", aProgram } };
    for (const auto& field : aExtra) {
      body[field.key()] = field.value();
    }
    return Request("POST", "/v1/chat/completions", json::serialize(body));
  }

  // Runs a call to its end and takes messages and answer into mHistory.
  json::object Turn(const std::string& aProgram, const std::string& aContent)
  {
    const uint64_t request = Start(aProgram, aContent);
    mHistory = mLast;
    mElapsed = RunUntilAnswered(request);
    const auto answer = Json(request);
    const auto& message = answer.at("choices").as_array().at(0).as_object().at("message");
    mHistory.push_back(message);
    return answer;
  }

  static uint64_t Cached(const json::object& aAnswer)
  {
    const auto& usage = aAnswer.at("usage").as_object();
    return UintField(usage.at("prompt_tokens_details").as_object(), "cached_tokens");
  }

  // A counter of one program.
  double Stat(const std::string& aProgram, const std::string& aKey)
  {
    const auto programs = Ask("GET", "/stats").at("programs").as_object();
    return programs.contains(aProgram) ? DoubleField(programs.at(aProgram).as_object(), aKey) : -1;
  }

  uint64_t Held(const std::string& aProgram)
  {
    const auto cache = Ask("GET", "/v1/cache");
    for (const auto& row : cache.at("programs").as_array()) {
      if (TextField(row.as_object(), "program") == aProgram) {
        return UintField(row.as_object(), "tokens");
      }
    }
    return 0;
  }

  json::array mHistory;
  json::array mLast;
  base::Micros mElapsed{ 0 };
};

// Guards against wrong usage figures, from which budgets are settled.
BOOST_FIXTURE_TEST_CASE(EngineStandinFirstTurnComputesWholePrompt, EngineStandinFixture)
{
  const auto answer = Turn("p", std::string(400, 'x'));
  const auto& usage = answer.at("usage").as_object();
  BOOST_TEST(UintField(usage, "prompt_tokens") == 100U);
  BOOST_TEST(UintField(usage, "completion_tokens") == 4U);
  BOOST_TEST(UintField(usage, "total_tokens") == 104U);
  BOOST_TEST(Cached(answer) == 0U);
  // 100 ms of prefill, which gives the first token, and three decode steps.
  BOOST_TEST(mElapsed.count() == 130000);
}

// Guards against a cache that does not shorten the prefill: cache-aware routing would show no gain.
BOOST_FIXTURE_TEST_CASE(EngineStandinSecondTurnReusesPrefix, EngineStandinFixture)
{
  Turn("p", std::string(400, 'x'));
  const auto answer = Turn("p", std::string(40, 'y'));
  BOOST_TEST(Cached(answer) == 104U);
  BOOST_TEST(mElapsed.count() == 40000);
  BOOST_TEST(Stat("p", "recomputed_tokens") == 0);
  BOOST_TEST(Held("p") == 118U);
}

// Guards against prefixes shared between programs, and counts the loss after a change of engine.
BOOST_FIXTURE_TEST_CASE(EngineStandinUnknownPrefixIsRecomputed, EngineStandinFixture)
{
  Turn("p", std::string(400, 'x'));
  const auto answer = Turn("q", "next");
  BOOST_TEST(Cached(answer) == 0U);
  BOOST_TEST(Stat("q", "recomputed_tokens") == 104);
}

// Guards against a test that cannot tell a lost or mixed history from the right one.
BOOST_FIXTURE_TEST_CASE(EngineStandinAnswerDependsOnProgramAndHistory, EngineStandinFixture)
{
  const uint64_t digest = HistoryDigest(0, "user", "hello");
  const uint64_t request = Start("0-1-a", "hello", { { "max_tokens", 20 } });
  RunUntilAnswered(request);
  const std::string expected = AnswerText("0-1-a", 1, digest, 20);
  BOOST_TEST(expected.starts_with("messages=1 digest="));
  BOOST_TEST(expected.size() == 80U);
  BOOST_TEST(Body(request).find(json::serialize(json::value(expected))) != std::string::npos);
  BOOST_TEST(expected != AnswerText("0-1-b", 1, digest, 20));
  BOOST_TEST(expected != AnswerText("0-1-a", 1, HistoryDigest(0, "user", "hellO"), 20));
}

// Guards against a stream that differs from the whole answer.
BOOST_FIXTURE_TEST_CASE(EngineStandinStreamCarriesAnswerUsageAndEnd, EngineStandinFixture)
{
  const uint64_t request = Start("p", "hello", { { "stream", true }, { "max_tokens", 20 } });
  RunUntilAnswered(request);
  std::string text;
  uint64_t prompt = 0;
  std::string body = Body(request);
  BOOST_TEST(Parts(request).at(0).mContentType == "text/event-stream");
  BOOST_TEST(body.ends_with("data: [DONE]\n\n"));
  for (size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n")) {
    const auto chunk = ParseObject(std::string_view(body).substr(6, end - 6));
    body.erase(0, end + 2);
    if (!base::IsOk(chunk)) {
      continue;
    }
    for (const auto& choice : base::ValueOf(chunk).at("choices").as_array()) {
      text += TextField(choice.as_object().at("delta").as_object(), "content");
    }
    if (base::ValueOf(chunk).contains("usage")) {
      prompt = UintField(base::ValueOf(chunk).at("usage").as_object(), "prompt_tokens");
    }
  }
  BOOST_TEST(text == AnswerText("p", 1, HistoryDigest(0, "user", "hello"), 20));
  BOOST_TEST(prompt == 2U);
}

// Guards against engines without contention, where ordering and routing would not matter.
BOOST_FIXTURE_TEST_CASE(EngineStandinFullerBatchDecodesSlower, EngineStandinFixture)
{
  Start("a", "x", { { "max_tokens", 100 } });
  Advance(base::Millis(3));
  const uint64_t second = Start("b", "x", { { "max_tokens", 11 } });
  // The rest of the first decode step, which ends after 11 ms, one step with the prefill of 1 ms,
  // then 10 steps of 15 ms.
  BOOST_TEST(RunUntilAnswered(second).count() == 8000 + 11000 + 150000);
}

// Guards against a queue that ignores priorities.
BOOST_FIXTURE_TEST_CASE(EngineStandinLowerPriorityValueRunsFirst, EngineStandinFixture)
{
  Control(R"({"max_batch":1})");
  Start("a", "x");
  const uint64_t late = Start("b", "x", { { "priority", 5 } });
  const uint64_t early = Start("c", "x", { { "priority", -5 } });
  RunUntilAnswered(early);
  BOOST_TEST(Status(late) == 0);
  RunUntilAnswered(late);
}

// Guards against unlimited memory: eviction is what makes retention and routing worthwhile.
BOOST_FIXTURE_TEST_CASE(EngineStandinFullCacheEvictsLeastRecentlyUsed, EngineStandinFixture)
{
  for (const char* program : { "a", "b", "c" }) {
    mHistory.clear();
    Turn(program, std::string(1200, 'x'));
  }
  BOOST_TEST(Held("a") == 304U);
  mHistory.clear();
  Turn("d", std::string(1200, 'x'));
  BOOST_TEST(Held("a") == 0U);
  BOOST_TEST(Held("b") == 304U);
  BOOST_TEST(Stat("a", "evicted_tokens") == 304);
  const uint64_t tooLong = Start("e", std::string(4000, 'x'));
  BOOST_TEST(Status(tooLong) == 400);
}

// Guards against memory that stays after a release, and against an early release during a run.
BOOST_FIXTURE_TEST_CASE(EngineStandinReleaseFreesMemory, EngineStandinFixture)
{
  Turn("p", std::string(400, 'x'));
  const std::string body = R"({"program":"p"})";
  BOOST_TEST(UintField(Ask("POST", "/v1/cache/release", body), "released_tokens") == 104U);
  BOOST_TEST(Held("p") == 0U);
  BOOST_TEST(UintField(Ask("POST", "/v1/cache/release", body), "released_tokens", 9) == 0U);
  const uint64_t running = Start("p", "x");
  Ask("POST", "/v1/cache/release", body);
  BOOST_TEST(Held("p") > 0U);
  RunUntilAnswered(running);
  BOOST_TEST(Held("p") == 0U);
}

// Guards against a cancelled call that goes on, and shows that its prefix still needs a release.
BOOST_FIXTURE_TEST_CASE(EngineStandinClosedCallStopsAndKeepsPrefix, EngineStandinFixture)
{
  const uint64_t request = Start("p", std::string(400, 'x'), { { "max_tokens", 500 } });
  Advance(base::Millis(200));
  Close(request);
  Advance(base::Seconds(10));
  BOOST_TEST(Stat("p", "cancelled") == 1);
  BOOST_TEST(Stat("p", "generated_tokens") < 15);
  BOOST_TEST(Held("p") == 100U);
  BOOST_TEST(UintField(Ask("GET", "/stats"), "running", 9) == 0U);
}

// Guards against wrong waste figures, the second metric of the project.
BOOST_FIXTURE_TEST_CASE(EngineStandinAccountsWastedTokenSeconds, EngineStandinFixture)
{
  Turn("p", std::string(400, 'x'));
  Advance(base::Seconds(10));
  Turn("p", "y");
  BOOST_TEST(Stat("p", "idle_token_seconds") == 1040, boost::test_tools::tolerance(0.001));
  BOOST_TEST(Stat("p", "wasted_token_seconds") == 0, boost::test_tools::tolerance(0.001));
  Advance(base::Seconds(10));
  BOOST_TEST(Stat("p", "pending_token_seconds") == 1090, boost::test_tools::tolerance(0.001));
  Ask("POST", "/v1/cache/release", R"({"program":"p"})");
  BOOST_TEST(Stat("p", "wasted_token_seconds") == 1090, boost::test_tools::tolerance(0.001));
  BOOST_TEST(Stat("p", "idle_token_seconds") == 2130, boost::test_tools::tolerance(0.001));
}

// Guards against an order that reverts an engine that checks, and against one that wrongly rejects.
BOOST_FIXTURE_TEST_CASE(EngineStandinOrderWithOldVersionDependsOnFenceCheck, EngineStandinFixture)
{
  const std::string newer = R"({"version":7,"model":"m","model_version":"2","role":"both"})";
  const std::string older = R"({"version":6,"model":"m","model_version":"1","role":"both"})";
  BOOST_TEST(Status(Request("POST", "/v1/orders", newer)) == 200);
  BOOST_TEST(Status(Request("POST", "/v1/orders", newer)) == 200);
  BOOST_TEST(Status(Request("POST", "/v1/orders", older)) == 409);
  BOOST_TEST(UintField(Ask("GET", "/v1/orders"), "version") == 7U);
  BOOST_TEST(Status(Start("p", "x", { { "fence", 6 } })) == 409);
  Control(R"({"checks_fence":false})");
  BOOST_TEST(Status(Request("POST", "/v1/orders", older)) == 200);
  BOOST_TEST(UintField(Ask("GET", "/v1/orders"), "version") == 6U);
  const auto applied = Ask("GET", "/stats").at("orders_applied");
  BOOST_TEST(json::serialize(applied) == "[7,7,6]");
}

// Guards against loads that cost nothing.
BOOST_FIXTURE_TEST_CASE(EngineStandinAfterModelChangeStartsCallsLater, EngineStandinFixture)
{
  Request("POST", "/v1/orders", R"({"version":1,"model":"m"})");
  const uint64_t request = Start("p", "x");
  BOOST_TEST(RunUntilAnswered(request).count() > 2000000);
  Request("POST", "/v1/orders", R"({"version":2,"model":"m"})");
  BOOST_TEST(RunUntilAnswered(Start("q", "x")).count() < 100000);
}

// Guards against a load report without lag.
BOOST_FIXTURE_TEST_CASE(EngineStandinLoadReportLags, EngineStandinFixture)
{
  BOOST_TEST(UintField(Ask("GET", "/v1/load"), "running", 9) == 0U);
  Start("p", "x", { { "max_tokens", 200 } });
  Advance(base::Millis(400));
  const auto stale = Ask("GET", "/v1/load");
  BOOST_TEST(UintField(stale, "running", 9) == 0U);
  BOOST_TEST(UintField(stale, "age_ms") == 400U);
  Advance(base::Millis(100));
  BOOST_TEST(UintField(Ask("GET", "/v1/load"), "running", 9) == 1U);
}

// Guards against cache events that are timely or complete, which would hide that they are hints.
BOOST_FIXTURE_TEST_CASE(EngineStandinCacheEventsComeLateAndWithGaps, EngineStandinFixture)
{
  Turn("p", "x");
  BOOST_TEST(Ask("GET", "/v1/cache/events?from=0").at("events").as_array().empty());
  Advance(base::Millis(500));
  BOOST_TEST(Ask("GET", "/v1/cache/events?from=0").at("events").as_array().size() == 1U);
  Control(R"({"cache_event_gap":1})");
  Ask("POST", "/v1/cache/release", R"({"program":"p"})");
  Advance(base::Millis(500));
  const auto page = Ask("GET", "/v1/cache/events?from=1");
  BOOST_TEST(UintField(page, "next") == 2U);
  BOOST_TEST(page.at("events").as_array().empty());
}

// Guards against a stream fault that also stops the engine.
BOOST_FIXTURE_TEST_CASE(EngineStandinStalledStreamRunsToTheEnd, EngineStandinFixture)
{
  Control(R"({"faults":[{"kind":"stall_stream","path":"/v1/chat","after_parts":2,"count":1}]})");
  const uint64_t request = Start("p", "x", { { "stream", true }, { "max_tokens", 10 } });
  Advance(base::Seconds(10));
  BOOST_TEST(Parts(request).size() == 2U);
  BOOST_TEST(!Parts(request).back().mLast);
  BOOST_TEST(Stat("p", "finished") == 1);
}

BOOST_FIXTURE_TEST_CASE(EngineStandinTruncatedStreamEndsWithoutEndMark, EngineStandinFixture)
{
  Control(R"({"faults":[{"kind":"truncate_stream","path":"/v1/chat","after_parts":2,"count":1}]})");
  const uint64_t request = Start("p", "x", { { "stream", true }, { "max_tokens", 10 } });
  Advance(base::Seconds(10));
  BOOST_TEST(Parts(request).back().mLast);
  BOOST_TEST(Body(request).find("[DONE]") == std::string::npos);
}

// Guards against a speed-up that changes anything but the time.
BOOST_FIXTURE_TEST_CASE(EngineStandinWithSpeedUpAnswersFaster, EngineStandinFixture)
{
  EngineSettings settings = TestSettings();
  settings.mSpeedUp = 10;
  Use(std::make_unique<EngineStandin>(settings));
  Turn("p", std::string(400, 'x'));
  BOOST_TEST(mElapsed.count() == 13000, boost::test_tools::tolerance(0.01));
  Advance(base::Seconds(1));
  BOOST_TEST(Stat("p", "pending_token_seconds") == 1040, boost::test_tools::tolerance(0.01));
}

// Guards against a length directive that exceeds the limit of the request.
BOOST_FIXTURE_TEST_CASE(EngineStandinAnswerLengthFollowsDirectiveWithinLimit, EngineStandinFixture)
{
  const uint64_t shorter = Start("p", "[answer_tokens=3]");
  RunUntilAnswered(shorter);
  BOOST_TEST(UintField(Json(shorter).at("usage").as_object(), "completion_tokens") == 3U);
  const uint64_t longer = Start("q", "[answer_tokens=9]");
  RunUntilAnswered(longer);
  BOOST_TEST(UintField(Json(longer).at("usage").as_object(), "completion_tokens") == 4U);
}

}

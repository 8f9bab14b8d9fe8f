#include "sycamore/sidecar/answer_parser.h"
#include "sycamore/sidecar/call_state_machine.h"
#include "sycamore/sidecar/metrics_text.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::sidecar {

struct AnswerParserFixture
{
  AnswerParser mParser;
  std::string mStream = ": comment\n"
                        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
                        "data: {\"choices\":[{\"delta\":{\"content\":\"sal\\u00e4m\"}}]}\r\n\r\n"
                        "data:{\"choices\":[{\"delta\":{\"content\":\" \\\"x\\\"\"},"
                        "\"finish_reason\":\"length\"}]}\n\n"
                        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
                        "\"completion_tokens\":2,\"prompt_tokens_details\":"
                        "{\"cached_tokens\":4}}}\n\n"
                        "data: [DONE]\n\n";
};

// Guards against text lost or duplicated where the network splits the stream.
BOOST_FIXTURE_TEST_CASE(AnswerParserWithPiecesCutAnywhereReadsTheSame, AnswerParserFixture)
{
  const bool holds = rc::check([this] {
    AnswerParser parser;
    std::string text;
    size_t begin = 0;
    while (begin < mStream.size()) {
      const auto size = *rc::gen::inRange<size_t>(1, 60);
      const auto piece = parser.Feed(std::string_view(mStream).substr(begin, size));
      RC_ASSERT(IsOk(piece));
      text += base::ValueOf(piece);
      begin += size;
    }
    RC_ASSERT(parser.Complete());
    RC_ASSERT(text == "sal\u00e4m \"x\"");
    RC_ASSERT(parser.Text() == text);
    RC_ASSERT((parser.Usage() == AnswerUsage{ 5, 4, 2 }));
  });
  BOOST_TEST(holds);
}

// Guards against a body, composed from a stream, that differs from a non-streamed answer.
BOOST_FIXTURE_TEST_CASE(AnswerParserBodyReadsLikeAnUnstreamedAnswer, AnswerParserFixture)
{
  BOOST_REQUIRE(IsOk(mParser.Feed(mStream)));
  const auto usage = ParseAnswer(mParser.Body());
  BOOST_REQUIRE(IsOk(usage));
  BOOST_TEST((ValueOf(usage) == AnswerUsage{ 5, 4, 2 }));
  BOOST_TEST(mParser.Body().find(R"("finish_reason":"length")") != std::string::npos);
}

// Guards against accepting malformed answers or error events.
BOOST_FIXTURE_TEST_CASE(AnswerParserWithMalformedOrErrorEventFails, AnswerParserFixture)
{
  BOOST_TEST(!IsOk(AnswerParser().Feed("data: {\"choices\"\n")));
  BOOST_TEST(!IsOk(AnswerParser().Feed("data: {\"error\":{\"message\":\"no\"}}\n")));
  BOOST_TEST(IsOk(AnswerParser().Feed("data: {\"choices\":[],\"error\":null,\"usage\":null}\n")));
  BOOST_TEST(!IsOk(ParseAnswer("<html>")));
  BOOST_TEST(!IsOk(ParseAnswer(R"({"choices":[]})")));
  BOOST_TEST(!IsOk(AnswerParser().Feed(std::string(AnswerParser::kMaxAnswerBytes + 1, 'x'))));
}

// Guards against a CallPhase numbering that differs from the transition table.
BOOST_AUTO_TEST_CASE(CallStateMachineRejectsInvalidTransitions)
{
  CallStateMachine life;
  BOOST_TEST((life.Phase() == CallPhase::Queued));
  BOOST_TEST(life.Apply(CallStep::Start));
  BOOST_TEST((life.Phase() == CallPhase::Running));
  BOOST_TEST(!life.Apply(CallStep::Start));
  BOOST_TEST(life.Apply(CallStep::Cancel));
  BOOST_TEST((life.Phase() == CallPhase::Cancelling));
  BOOST_TEST(!life.Apply(CallStep::Cancel));
  BOOST_TEST(life.Apply(CallStep::Finish));
  BOOST_TEST((life.Phase() == CallPhase::Finished));
  BOOST_TEST(!life.Apply(CallStep::Finish));
  CallStateMachine queued;
  BOOST_TEST(queued.Apply(CallStep::Cancel));
  BOOST_TEST((queued.Phase() == CallPhase::Finished));
}

// Guards against counters and gauges that are missing from the metrics text.
BOOST_AUTO_TEST_CASE(MetricsTextNamesCountersAndSizes)
{
  SidecarCounters counters;
  counters.mGeneratedTokens = 1234567;
  counters.mRunning = 3;
  const std::string text = MetricsText(counters);
  BOOST_TEST(text.find("sycamore_sidecar_generated_tokens_total 1234567") != std::string::npos);
  BOOST_TEST(text.find("sycamore_sidecar_running 3") != std::string::npos);
}

}

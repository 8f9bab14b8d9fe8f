#include "sycamore/testbed/standin_host.h"

#include "stream_text.h"

#include "sycamore/http/async_client.h"
#include "sycamore/http/client.h"
#include "sycamore/testbed/engine_standin.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/tool_standin.h"
#include "sycamore/testbed/wait.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::testbed {

// Two engines and a tool in one host.
struct StandinHostFixture
{
  StandinHostFixture()
  {
    EngineSettings settings;
    settings.mSpeedUp = 10;
    mEngines[0] = Add(std::make_unique<EngineStandin>(settings));
    mEngines[1] = Add(std::make_unique<EngineStandin>(settings));
    mTool = Add(std::make_unique<ToolStandin>(base::Millis(0)));
    mHost.Start();
  }

  http::Endpoint Add(std::unique_ptr<Standin> aStandin)
  {
    const auto bound = mHost.Add(std::move(aStandin), { "127.0.0.1", 0 });
    BOOST_REQUIRE(base::IsOk(bound));
    return base::ValueOf(bound);
  }

  static http::ClientRequest Chat(const std::string& aProgram, int aMaxTokens, bool aStream)
  {
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/v1/chat/completions";
    const boost::json::object message{ { "role", "user" }, { "content", "hello" } };
    request.mBody =
      boost::json::serialize(boost::json::object{ { "messages", boost::json::array{ message } },
                                                  { "program", aProgram },
                                                  { "max_tokens", aMaxTokens },
                                                  { "stream", aStream } });
    return request;
  }

  boost::json::object Stats(const http::Endpoint& aEndpoint)
  {
    http::Client client(aEndpoint, base::Seconds(20));
    http::ClientRequest request;
    request.mTarget = "/stats";
    const auto response = client.Perform(request);
    BOOST_REQUIRE(base::IsOk(response));
    return base::ValueOf(ParseObject(base::ValueOf(response).mBody));
  }

  StandinHost mHost;
  http::Endpoint mEngines[2];
  http::Endpoint mTool;
};

// Guards against answers that reach the wrong caller when many calls run at once.
BOOST_FIXTURE_TEST_CASE(StandinHostConcurrentCallersGetTheirOwnAnswers, StandinHostFixture)
{
  constexpr int kCallers = 8;
  std::vector<std::string> texts(kCallers);
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this, caller, &texts] {
      http::Client client(mEngines[caller % 2], base::Seconds(20));
      const auto response = client.PerformStreaming(Chat("p" + std::to_string(caller), 20, true),
                                                    [&texts, caller](std::string_view aData) {
                                                      texts[static_cast<size_t>(caller)] += aData;
                                                      return true;
                                                    });
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int caller = 0; caller < kCallers; ++caller) {
    const std::string& text = texts[static_cast<size_t>(caller)];
    BOOST_TEST(text.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(StreamText(text).find("program=p" + std::to_string(caller) + " ") !=
               std::string::npos);
  }
}

// Guards against calls that go on after their caller has gone.
BOOST_FIXTURE_TEST_CASE(StandinHostClosedConnectionCancelsCall, StandinHostFixture)
{
  http::AsyncClient client;
  http::AsyncHandlers handlers;
  handlers.mOnDone = [](const http::ClientResponse&) {};
  handlers.mOnError = [](const base::Error&, http::SendProgress) {};
  const uint64_t id =
    client.Start(mEngines[0], Chat("p", 50000, false), base::Seconds(60), handlers);
  const auto running = [this] { return UintField(Stats(mEngines[0]), "running"); };
  BOOST_TEST(WaitUntil(base::Seconds(20), [&] { return running() == 1; }));
  client.Cancel(id);
  BOOST_TEST(WaitUntil(base::Seconds(20), [&] { return running() == 0; }));
  BOOST_TEST(UintField(Stats(mEngines[0]).at("totals").as_object(), "cancelled") == 1U);
}

// Guards against state shared between stand-ins of one host.
BOOST_FIXTURE_TEST_CASE(StandinHostKeepsStandinsApart, StandinHostFixture)
{
  http::Client client(mEngines[0], base::Seconds(20));
  BOOST_TEST(base::IsOk(client.Perform(Chat("p", 4, false))));
  BOOST_TEST(UintField(Stats(mEngines[0]), "cache_used_tokens") == 6U);
  BOOST_TEST(UintField(Stats(mEngines[1]), "cache_used_tokens", 9) == 0U);
  BOOST_TEST(UintField(Stats(mTool), "runs", 9) == 0U);
}

}

#include "scripted_entry.h"

#include "sycamore/client/call_stream.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

namespace sycamore::client {

using base::Millis;
using base::Seconds;

static http::ResponsePart
Events(const http::Request& aRequest, std::string aBody, bool aLast)
{
  http::ResponsePart part;
  part.mRequest = aRequest.mId;
  part.mLast = aLast;
  part.mContentType = "text/event-stream";
  part.mBody = std::move(aBody);
  return part;
}

struct CallStreamFixture
{
  std::string mText;
  int mResets = 0;
  CallStreamHandlers mHandlers{ [this](std::string_view aToken) { mText += aToken; },
                                [this] {
                                  mText.clear();
                                  ++mResets;
                                } };

  std::variant<std::string, Failure> Run(std::vector<http::Endpoint> aEndpoints,
                                         const std::optional<std::string>& aBody)
  {
    Entries entries(std::move(aEndpoints), Seconds(10));
    return CallStream(entries, "1-2-3", 7, Seconds(30)).Run(aBody, "", mHandlers);
  }
};

static constexpr const char* kToken1 = "id: 1.0\nevent: token\ndata: {\"text\":\"a\"}\n\n";
static constexpr const char* kToken2 = "id: 1.1\nevent: token\ndata: {\"text\":\"b\"}\n\n";
static constexpr const char* kDone = "id: 1.2\nevent: done\ndata: {\"seq\":7}\n\n";

// Guards against text lost or repeated when an entry dies in the middle of a stream.
BOOST_FIXTURE_TEST_CASE(CallStreamBrokenContinuesAfterLastEvent, CallStreamFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int aCount) {
    // A stream without final event, as of an entry that dies.
    aServer.Send(aCount == 1 ? Events(aRequest, kToken1, true)
                             : Events(aRequest, std::string(kToken2) + kDone, true));
  });
  const auto resumed = Run({ entry.mEndpoint }, "{}");
  BOOST_TEST(std::get<std::string>(resumed) == "{\"seq\":7}");
  BOOST_TEST(mText == "ab");
  const auto requests = entry.Requests();
  BOOST_TEST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(requests[0].mMethod == "POST");
  BOOST_TEST(requests[1].mMethod == "GET");
  BOOST_TEST(requests[1].mPath == "/v1/programs/1-2-3/calls/7/events");
  BOOST_TEST(requests[1].mLastEventId == "1.0");
}

// Guards against a caller that gives up on, or never repeats, a call that the new owner does not
// know.
BOOST_FIXTURE_TEST_CASE(CallStreamOfUnknownCallIsPostedAgain, CallStreamFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int aCount) {
    if (aCount == 1) {
      aServer.Send(Events(aRequest, kToken1, true));
    } else if (aRequest.mMethod == "GET") {
      aServer.Send(CompletePart(
        aRequest,
        404,
        R"({"error":{"code":"call_not_found","run":"uncommitted","retryable":true}})"));
    } else {
      aServer.Send(Events(
        aRequest, std::string("event: reset\ndata: {}\n\n") + kToken1 + kToken2 + kDone, true));
    }
  });
  const auto result = Run({ entry.mEndpoint }, "{}");
  BOOST_TEST(std::get<std::string>(result) == "{\"seq\":7}");
  BOOST_TEST(mText == "ab");
  BOOST_TEST(mResets == 1);
  BOOST_TEST(entry.Requests().size() == 3U);
}

// Guards against a call that is posted again because one entry on the way to its events is down.
BOOST_FIXTURE_TEST_CASE(CallStreamBrokenStaysWithEventsPastDeadEntry, CallStreamFixture)
{
  std::atomic<int> posts = 0;
  const auto script = [&posts](http::Server& aServer, const http::Request& aRequest, int) {
    if (aRequest.mMethod == "POST") {
      ++posts;
      // The answer is lost: the client gives up waiting and turns to the next entry.
      return;
    }
    aServer.Send(Events(aRequest, std::string(kToken1) + kDone, true));
  };
  ScriptedEntry first(script);
  // Port 9 of loopback (discard) has no listener here.
  Entries entries({ first.mEndpoint, { "127.0.0.1", 9 } }, Millis(300));
  const auto result = CallStream(entries, "1-2-3", 7, Seconds(30)).Run("{}", "", mHandlers);
  BOOST_TEST(std::get<std::string>(result) == "{\"seq\":7}");
  BOOST_TEST(posts.load() == 1);
}

// Guards against a refusal that is retried until the limit, or reported without its reason.
BOOST_FIXTURE_TEST_CASE(CallStreamRefusedIsReportedAtOnce, CallStreamFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int) {
    aServer.Send(CompletePart(
      aRequest,
      402,
      R"({"error":{"code":"budget_exceeded","message":"m","run":"not_run","retryable":false}})"));
  });
  const auto result = Run({ entry.mEndpoint }, "{}");
  BOOST_TEST(std::get<Failure>(result).mCode == "budget_exceeded");
  BOOST_TEST(std::get<Failure>(result).mStatus == 402);
  BOOST_TEST(entry.Requests().size() == 1U);
}

// Guards against a stopped entry that hides the live ones.
BOOST_FIXTURE_TEST_CASE(EntriesWithDeadFirstEntryAskTheNext, CallStreamFixture)
{
  ScriptedEntry live([](http::Server& aServer, const http::Request& aRequest, int) {
    aServer.Send(CompletePart(aRequest, 200, "{}"));
  });
  ScriptedEntry stopping([](http::Server& aServer, const http::Request& aRequest, int) {
    aServer.Send(CompletePart(
      aRequest, 503, R"({"error":{"code":"stopping","run":"not_run","retryable":true}})"));
  });
  // Port 9 of loopback (discard) has no listener here.
  Entries entries({ { "127.0.0.1", 9 }, stopping.mEndpoint, live.mEndpoint }, Seconds(10));
  http::ClientRequest request;
  request.mTarget = "/v1/table";
  const Answer answer = entries.Perform(request, Resend::Never);
  BOOST_TEST(std::get<http::ClientResponse>(answer).mStatus == 200);
}

// Guards against an edit that is sent twice and then reported as a conflict with itself.
BOOST_FIXTURE_TEST_CASE(EntriesNeverResendEditWithoutAnswer, CallStreamFixture)
{
  ScriptedEntry silent([](http::Server&, const http::Request&, int) {});
  ScriptedEntry live([](http::Server& aServer, const http::Request& aRequest, int) {
    aServer.Send(CompletePart(aRequest, 200, "{}"));
  });
  Entries entries({ silent.mEndpoint, live.mEndpoint }, Millis(200));
  http::ClientRequest edit;
  edit.mMethod = "PUT";
  edit.mTarget = "/v1/table/rows/a/b/c";
  BOOST_TEST(std::get<Failure>(entries.Perform(edit, Resend::Never)).mRun == "uncommitted");
  BOOST_TEST(live.Requests().empty());
}

}

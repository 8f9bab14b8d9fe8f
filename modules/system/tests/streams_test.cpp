#include "system_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::system {

// Parses the server-sent events of one call.
struct EventReader
{
  std::string mText; // Text of the token events since the last reset.
  std::string mLastId;
  std::string mDone; // Data of the done event.
  bool mError = false;

  // Parses the complete events in aData; an incomplete one stays in mRest until more data comes.
  void Parse(std::string_view aData)
  {
    mRest += aData;
    for (size_t end = mRest.find("\n\n"); end != std::string::npos; end = mRest.find("\n\n")) {
      ParseEvent(mRest.substr(0, end));
      mRest.erase(0, end + 2);
    }
  }

private:
  static std::string Field(const std::string& aEvent, const std::string& aName)
  {
    const size_t start = aEvent.find(aName + ": ");
    if (start == std::string::npos) {
      return "";
    }
    const size_t begin = start + aName.size() + 2;
    return aEvent.substr(begin, aEvent.find('\n', begin) - begin);
  }

  void ParseEvent(const std::string& aEvent)
  {
    const std::string id = Field(aEvent, "id");
    mLastId = id.empty() ? mLastId : id;
    const std::string kind = Field(aEvent, "event");
    const std::string data = Field(aEvent, "data");
    if (kind == "token") {
      mText += boost::json::parse(data).at("text").as_string();
    } else if (kind == "reset") {
      mText.clear();
    } else if (kind == "done") {
      mDone = data;
    } else if (kind == "error") {
      mError = true;
    }
  }

  std::string mRest;
};

struct StreamsFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 3;
    options.mEngineSidecars = 2;
    options.mToolSidecars = 1;
    options.mEngineFlags = { "--speed_up=2" };
    return options;
  }

  // Reads a stream into aReader until it ends, its connection fails, or aContinue returns false.
  static void Read(const http::Endpoint& aEntry,
                   const http::ClientRequest& aRequest,
                   EventReader& aReader,
                   const std::function<bool()>& aContinue)
  {
    http::Client client(aEntry, base::Seconds(20));
    client.PerformStreaming(aRequest, [&](std::string_view aData) {
      aReader.Parse(aData);
      return aContinue();
    });
  }

  static http::ClientRequest PostCall(const std::string& aProgram, uint32_t aTokens)
  {
    auto body = ModelBody(1, "a long answer", aTokens);
    body["stream"] = true;
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = CallsPath(aProgram);
    request.mBody = boost::json::serialize(body);
    return request;
  }

  static http::ClientRequest Resume(const std::string& aProgram, const std::string& aLastId)
  {
    http::ClientRequest request;
    request.mTarget = CallsPath(aProgram) + "/1/events";
    request.mHeaders["Last-Event-ID"] = aLastId;
    return request;
  }

  // The text of the committed answer to the only call of the program.
  std::string CommittedText(const std::string& aProgram)
  {
    Caller caller = MakeCaller();
    const auto history =
      caller.Complete("GET", "/v1/programs/" + aProgram + "/history", {}, kTestTimeout);
    BOOST_REQUIRE((history && history->Ok()));
    const auto& turns = history->mBody.at("turns").as_array();
    BOOST_REQUIRE(turns.size() == 1U);
    return std::string(turns[0].at("answer").at("content").as_string());
  }

  // Streams a call through aEntry, kills the entry aKilled after some text, and resumes the stream
  // at the other entries until the done event.
  EventReader StreamAcrossKill(const std::string& aProgram, size_t aEntry, size_t aKilled)
  {
    EventReader reader;
    bool killed = false;
    Read(mCluster->Entry(aEntry), PostCall(aProgram, 150), reader, [&] {
      if (!killed && reader.mText.size() > 100) {
        killed = true;
        mCluster->EntryProcess(aKilled).Kill();
      }
      return reader.mDone.empty();
    });
    BOOST_TEST(killed);
    size_t next = aEntry;
    const bool done = WaitUntil([&] {
      next = (next + 1) % mCluster->Entries();
      if (reader.mDone.empty() && next != aKilled) {
        EventReader before = reader;
        Read(mCluster->Entry(next), Resume(aProgram, reader.mLastId), reader, [&] {
          return reader.mDone.empty();
        });
        if (reader.mDone.empty() && before.mText == reader.mText) {
          // The call was lost with its owner before its commit: send the same call again.
          reader.mText.clear();
          Read(mCluster->Entry(next), PostCall(aProgram, 150), reader, [&] {
            return reader.mDone.empty();
          });
        }
      }
      return !reader.mDone.empty();
    });
    BOOST_TEST(done);
    return reader;
  }
};

// Guards against an incomplete or duplicated answer when the entry that the caller is connected to
// is killed.
BOOST_FIXTURE_TEST_CASE(StreamAfterKillOfItsEntryResumesToTheCompleteAnswer, StreamsFixture)
{
  Start(Options());
  const std::string program = CreateProgram();
  const auto owner = OwnerOf(program);
  BOOST_REQUIRE(owner);
  const size_t other = (*owner + 1) % 3;
  const EventReader reader = StreamAcrossKill(program, other, other);
  BOOST_TEST(reader.mText == CommittedText(program));
}

// Guards against a stream that mixes tokens of two attempts when the owner of the program is
// killed.
BOOST_FIXTURE_TEST_CASE(StreamAfterKillOfTheOwnerEndsWithTheCommittedAnswer, StreamsFixture)
{
  Start(Options());
  const std::string program = CreateProgram();
  const auto owner = OwnerOf(program);
  BOOST_REQUIRE(owner);
  const size_t other = (*owner + 1) % 3;
  const EventReader reader = StreamAcrossKill(program, other, *owner);
  BOOST_TEST(reader.mText == CommittedText(program));
}

// Guards against lost or duplicated tokens when the connection to the sidecar stays open but drops
// all data.
BOOST_FIXTURE_TEST_CASE(StreamOverSilentConnectionEndsWithTheCommittedAnswer, StreamsFixture)
{
  auto options = Options();
  options.mRelays = true;
  Start(std::move(options));
  const std::string program = CreateProgram();
  EventReader reader;
  bool dropped = false;
  Read(mCluster->Entry(0), PostCall(program, 150), reader, [&] {
    if (!dropped && reader.mText.size() > 100) {
      dropped = true;
      for (size_t i = 0; i < 2; ++i) {
        BOOST_CHECK(mCluster->ControlSidecarRelay(i, { { "drop_existing", true } }));
      }
    }
    return reader.mDone.empty();
  });
  BOOST_TEST(dropped);
  BOOST_TEST(!reader.mDone.empty());
  BOOST_TEST(reader.mText == CommittedText(program));
}

}

// The threads around the core: HTTP server, log client, drain and stop.
#define BOOST_TEST_MODULE entry_threads
#include "sycamore/base/log.h"
#include "sycamore/entry/entry.h"
#include "sycamore/http/client.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <thread>

namespace sycamore::entry::testing {

// An in-memory log, shared by the clients of all threads.
struct MemoryLog
{
  std::mutex mMutex;
  std::map<std::string, std::vector<std::string>> mStreams;
};

class MemoryLogClient : public platform::LogClient
{
public:
  explicit MemoryLogClient(std::shared_ptr<MemoryLog> aLog)
    : mLog(std::move(aLog))
  {
  }

  base::Result<uint64_t> Append(const std::string& aStream, std::string_view aData) override
  {
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    auto& stream = mLog->mStreams[aStream];
    stream.emplace_back(aData);
    return static_cast<uint64_t>(stream.size() - 1);
  }

  base::Result<platform::LogPage> Read(const std::string& aStream,
                                       uint64_t aFrom,
                                       size_t aMaxRecords,
                                       size_t) override
  {
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    const auto& stream = mLog->mStreams[aStream];
    platform::LogPage page;
    page.mNext = stream.size();
    for (uint64_t i = aFrom; i < stream.size() && page.mRecords.size() < aMaxRecords; ++i) {
      page.mRecords.push_back({ i, stream[i] });
    }
    return page;
  }

  base::Result<platform::LogPage> ReadLast(const std::string& aStream) override
  {
    uint64_t size = 0;
    {
      const std::lock_guard<std::mutex> lock(mLog->mMutex);
      size = mLog->mStreams[aStream].size();
    }
    return Read(aStream, size == 0 ? 0 : size - 1, 1, 0);
  }

private:
  std::shared_ptr<MemoryLog> mLog;
};

struct EntryThreadsFixture
{
  EntryThreadsFixture()
  {
    base::SetLogLevel(base::LogLevel::Error);
    settings::Settings settings;
    settings.mInstance = "entry-a";
    settings.mRegion = "lahore-a";
    settings.mPartitions = 2;
    settings.mHttp = { "127.0.0.1", 0 };
    settings.mPeer = { "127.0.0.1", 0 };
    settings.mOwnerTimeout = base::Millis{ 500 };
    settings.mConfigPoll = base::Millis{ 50 };
    const auto log = std::make_shared<MemoryLog>();
    EntryAdapters adapters;
    adapters.mMakeLogClient = [log] { return std::make_unique<MemoryLogClient>(log); };
    adapters.mReadInstances = [] { return std::vector<world::Instance>{}; };
    mEntry = std::make_unique<Entry>(settings, adapters);
    BOOST_REQUIRE(base::IsOk(mEntry->Start()));
    mClient = std::make_unique<http::Client>(mEntry->HttpEndpoint(), base::Millis{ 5000 });
  }

  http::ClientResponse Ask(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aBody = "")
  {
    http::ClientRequest request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mBody = aBody;
    auto response = mClient->Perform(request);
    BOOST_REQUIRE(base::IsOk(response));
    return base::TakeValue(std::move(response));
  }

  template<typename Condition>
  static bool WaitFor(const Condition& aCondition)
  {
    const base::TimePoint limit = base::Clock::now() + base::Seconds{ 20 };
    while (!aCondition()) {
      if (base::Clock::now() >= limit) {
        return false;
      }
      std::this_thread::sleep_for(base::Millis{ 20 });
    }
    return true;
  }

  std::unique_ptr<Entry> mEntry;
  std::unique_ptr<http::Client> mClient;
};

// A request must pass from the HTTP thread through the core to the log threads and back. A lost
// wake-up between the threads would leave it unanswered, or hang the drain or the stop.
BOOST_FIXTURE_TEST_CASE(EntryAloneServesCreationAndDrains, EntryThreadsFixture)
{
  BOOST_TEST(WaitFor([&] { return Ask("GET", "/readyz").mStatus == 200; }));
  const auto row =
    Ask("PUT",
        "/v1/table/rows/acme/lahore-a/*",
        R"({"base_version":0,"weight":1,"requests_per_s":10,"tokens_per_s":1000,"concurrency":4})");
  BOOST_TEST(row.mStatus == 200, row.mBody);
  const std::string body = R"({"account":"acme","region":"lahore-a","budget_tokens":1000})";
  BOOST_TEST(WaitFor([&] { return Ask("POST", "/v1/programs", body).mStatus == 201; }));
  BOOST_TEST(!mEntry->Dump().empty());
  mEntry->BeginDrain();
  BOOST_TEST(WaitFor([&] { return mEntry->Drained(); }));
  mEntry->Stop();
}

}

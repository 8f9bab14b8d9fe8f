#include "sycamore/http/client.h"
#include "sycamore/platform/http_log_client.h"
#include "sycamore/platform/instance_list_client.h"
#include "sycamore/platform/weight_store_client.h"
#include "sycamore/testbed/instances_standin.h"
#include "sycamore/testbed/log_standin.h"
#include "sycamore/testbed/standin_host.h"
#include "sycamore/testbed/weights_standin.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::platform {

static constexpr base::Millis kTimeout{ 20000 };

// A served stand-in.
struct ServedFixture
{
  void Serve(std::unique_ptr<testbed::Standin> aStandin)
  {
    const auto bound = mHost.Add(std::move(aStandin), { "127.0.0.1", 0 });
    BOOST_REQUIRE(base::IsOk(bound));
    mEndpoint = base::ValueOf(bound);
    mHost.Start();
  }

  void Control(const std::string& aBody)
  {
    http::Client client(mEndpoint, kTimeout);
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/control";
    request.mBody = aBody;
    const auto response = client.Perform(request);
    BOOST_REQUIRE(base::IsOk(response));
    BOOST_REQUIRE(base::ValueOf(response).mStatus == 200);
  }

  testbed::StandinHost mHost;
  http::Endpoint mEndpoint;
};

template<typename T>
static bool
FailsWith(const base::Result<T>& aResult, base::ErrorKind aKind)
{
  return !base::IsOk(aResult) && base::ErrorOf(aResult).mKind == aKind;
}

struct HttpLogClientFixture : ServedFixture
{
  HttpLogClientFixture()
  {
    Serve(std::make_unique<testbed::LogStandin>(testbed::LogSettings{}));
    mClient = MakeHttpLogClient(mEndpoint, kTimeout);
  }

  // Records in the stream; tells whether an append took effect.
  uint64_t Stored() { return base::ValueOf(mClient->ReadLast("s")).mNext; }

  std::unique_ptr<LogClient> mClient;
};

BOOST_FIXTURE_TEST_CASE(HttpLogClientReadsBackWhatItAppended, HttpLogClientFixture)
{
  const std::string binary("\0\x01\xff", 3);
  BOOST_TEST(base::ValueOf(mClient->Append("s", binary)) == 0U);
  BOOST_TEST(base::ValueOf(mClient->Append("s", "second")) == 1U);
  const auto page = mClient->Read("s", 0, 10, 1000);
  BOOST_REQUIRE(base::IsOk(page));
  BOOST_TEST(base::ValueOf(page).mNext == 2U);
  BOOST_REQUIRE(base::ValueOf(page).mRecords.size() == 2U);
  BOOST_TEST(base::ValueOf(page).mRecords.at(0).mData == binary);
  BOOST_TEST(base::ValueOf(page).mRecords.at(1).mOffset == 1U);
  const auto last = mClient->ReadLast("s");
  BOOST_REQUIRE(base::ValueOf(last).mRecords.size() == 1U);
  BOOST_TEST(base::ValueOf(last).mRecords.at(0).mData == "second");
}

BOOST_FIXTURE_TEST_CASE(HttpLogClientOfUnknownStreamReadsEmptyPage, HttpLogClientFixture)
{
  const auto page = mClient->Read("none", 5, 10, 1000);
  BOOST_REQUIRE(base::IsOk(page));
  BOOST_TEST(base::ValueOf(page).mRecords.empty());
  BOOST_TEST(base::ValueOf(page).mNext == 0U);
}

// Guards against a refused append reported as uncertain, which would cost a read-back each time.
BOOST_FIXTURE_TEST_CASE(HttpLogClientRefusedAppendIsUnavailable, HttpLogClientFixture)
{
  for (const char* status : { "503", "429" }) {
    Control(R"({"faults":[{"kind":"refuse","method":"POST","count":1,"status":)" +
            std::string(status) + "}]}");
    BOOST_TEST(FailsWith(mClient->Append("s", "x"), base::ErrorKind::LogUnavailable));
  }
  BOOST_TEST(Stored() == 0U);
}

// Guards against a lost answer reported as "did not take effect": the batch would be written twice.
BOOST_FIXTURE_TEST_CASE(HttpLogClientLostAnswerIsUncommitted, HttpLogClientFixture)
{
  const auto hasty = MakeHttpLogClient(mEndpoint, base::Millis(200));
  Control(R"({"faults":[{"kind":"lose_answer","method":"POST","count":1}]})");
  BOOST_TEST(FailsWith(hasty->Append("s", "x"), base::ErrorKind::Uncommitted));
  BOOST_TEST(Stored() == 1U);
  Control(R"({"faults":[{"kind":"fail_after_run","method":"POST","count":1}]})");
  BOOST_TEST(FailsWith(mClient->Append("s", "x"), base::ErrorKind::Uncommitted));
  BOOST_TEST(Stored() == 2U);
  BOOST_TEST(base::ValueOf(hasty->Append("s", "x")) == 2U);
}

BOOST_FIXTURE_TEST_CASE(HttpLogClientFailedReadIsUnavailable, HttpLogClientFixture)
{
  Control(R"({"faults":[{"kind":"refuse","method":"GET","count":1}]})");
  BOOST_TEST(FailsWith(mClient->ReadLast("s"), base::ErrorKind::LogUnavailable));
  Control(R"({"faults":[{"kind":"truncate_stream","method":"GET","count":1}]})");
  BOOST_TEST(FailsWith(mClient->ReadLast("s"), base::ErrorKind::LogUnavailable));
  mHost.Stop();
  BOOST_TEST(FailsWith(mClient->ReadLast("s"), base::ErrorKind::LogUnavailable));
}

// Guards against "may have taken effect" when no connection was possible.
BOOST_FIXTURE_TEST_CASE(HttpLogClientWithoutServerIsUnavailable, HttpLogClientFixture)
{
  mHost.Stop();
  const auto fresh = MakeHttpLogClient(mEndpoint, kTimeout);
  BOOST_TEST(FailsWith(fresh->Append("s", "x"), base::ErrorKind::LogUnavailable));
}

// Guards against one faulty row that hides all others.
BOOST_FIXTURE_TEST_CASE(InstanceListClientSkipsFaultyRows, ServedFixture)
{
  const auto rows = boost::json::parse(R"([
    {"name":"e1","role":"entry","region":"r","domain":"d","address":"127.0.0.1:1","state":"live"},
    {"name":"s1","role":"sidecar","region":"r","domain":"d","address":"127.0.0.1:2",
     "state":"leaving"},
    {"name":"s2","role":"sidecar","address":"127.0.0.1:3","state":"unheard-of"},
    {"name":"s3","role":"sidecar","state":"live"},
    7])");
  Serve(std::make_unique<testbed::InstancesStandin>(rows.as_array(), base::Millis(0)));
  const auto client = MakeHttpInstanceListClient(mEndpoint, kTimeout);
  const auto list = client->Read();
  BOOST_REQUIRE(base::IsOk(list));
  BOOST_REQUIRE(base::ValueOf(list).size() == 2U);
  const world::Instance expected{ "s1", "sidecar",     "r",
                                  "d",  "127.0.0.1:2", world::InstanceState::Leaving };
  BOOST_TEST((base::ValueOf(list).at(1) == expected));
  Control(R"({"faults":[{"kind":"refuse"}]})");
  BOOST_TEST(FailsWith(client->Read(), base::ErrorKind::TargetFailed));
}

// Guards against a refusal that is taken for an error, and against a lost Retry-After.
BOOST_FIXTURE_TEST_CASE(WeightStoreClientReportsRefusalWithRetryAfter, ServedFixture)
{
  Serve(std::make_unique<testbed::WeightsStandin>(0.1, 1));
  const auto client = MakeHttpWeightStoreClient(mEndpoint, kTimeout);
  const auto granted = client->Acquire("m", "1", "s1");
  BOOST_REQUIRE(base::IsOk(granted));
  BOOST_TEST(base::ValueOf(granted).mGranted);
  const auto refused = client->Acquire("m", "1", "s1");
  BOOST_REQUIRE(base::IsOk(refused));
  BOOST_TEST(!base::ValueOf(refused).mGranted);
  BOOST_TEST(base::ValueOf(refused).mRetryAfter.count() == 10000);
  Control(R"({"faults":[{"kind":"refuse"}]})");
  BOOST_TEST(FailsWith(client->Acquire("m", "1", "s1"), base::ErrorKind::TargetFailed));
}

}

#include "sycamore/testbed/relay.h"

#include "sycamore/http/client.h"
#include "sycamore/testbed/standin_host.h"
#include "sycamore/testbed/tool_standin.h"
#include "sycamore/testbed/wait.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::testbed {

// A relay in front of a tool stand-in.
struct RelayFixture
{
  RelayFixture()
  {
    const auto server =
      mHost.Add(std::make_unique<ToolStandin>(base::Millis(0)), { "127.0.0.1", 0 });
    BOOST_REQUIRE(base::IsOk(server));
    mHost.Start();
    const auto bound = mRelay.Add({ "127.0.0.1", 0 }, base::ValueOf(server));
    BOOST_REQUIRE(base::IsOk(bound));
    mEndpoint = base::ValueOf(bound);
  }

  ~RelayFixture() { mRelay.Stop(); }

  // Whether a request is answered.
  static bool Works(http::Client& aClient)
  {
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/tools/echo";
    request.mBody = R"({"a":1})";
    const auto response = aClient.Perform(request);
    return base::IsOk(response) && base::ValueOf(response).mStatus == 200;
  }

  StandinHost mHost;
  Relay mRelay;
  http::Endpoint mEndpoint;
};

BOOST_FIXTURE_TEST_CASE(RelayForwardsBothDirections, RelayFixture)
{
  http::Client client(mEndpoint, base::Seconds(20));
  BOOST_TEST(Works(client));
  BOOST_TEST(Works(client));
  BOOST_TEST(mRelay.Stats(0).mAccepted == 1U);
  BOOST_TEST(mRelay.Stats(0).mForwardedBytes > 100U);
}

// Guards against a drop that closes the connection: the peers have to find out by themselves.
BOOST_FIXTURE_TEST_CASE(RelayAfterDropKeepsOldConnectionSilentAndServesNewOnes, RelayFixture)
{
  http::Client old(mEndpoint, base::Millis(300));
  BOOST_TEST(Works(old));
  mRelay.DropExisting(0);
  http::ClientRequest request;
  request.mTarget = "/stats";
  const auto response = old.Perform(request);
  BOOST_REQUIRE(!base::IsOk(response));
  BOOST_TEST(static_cast<int>(base::ErrorOf(response).mKind) ==
             static_cast<int>(base::ErrorKind::TargetTimeout));
  BOOST_TEST(mRelay.Stats(0).mDropping == 1U);
  BOOST_TEST(mRelay.Stats(0).mDroppedBytes > 0U);
  http::Client fresh(mEndpoint, base::Seconds(20));
  BOOST_TEST(Works(fresh));
}

BOOST_FIXTURE_TEST_CASE(RelayWhileRefusingClosesConnectionsAndAcceptsNone, RelayFixture)
{
  http::Client old(mEndpoint, base::Seconds(20));
  BOOST_TEST(Works(old));
  BOOST_TEST(base::IsOk(mRelay.SetMode(0, RelayMode::Refuse)));
  BOOST_TEST(mRelay.Stats(0).mOpen == 0U);
  http::Client fresh(mEndpoint, base::Seconds(20));
  const auto response = fresh.Perform({});
  BOOST_REQUIRE(!base::IsOk(response));
  BOOST_TEST(static_cast<int>(base::ErrorOf(response).mKind) ==
             static_cast<int>(base::ErrorKind::TargetRefused));
  BOOST_TEST(base::IsOk(mRelay.SetMode(0, RelayMode::Forward)));
  BOOST_TEST(Works(fresh));
}

// Guards against bytes that are lost by a partition that heals.
BOOST_FIXTURE_TEST_CASE(RelayAfterHoldDeliversWhatWasHeld, RelayFixture)
{
  http::Client client(mEndpoint, base::Seconds(20));
  BOOST_TEST(base::IsOk(mRelay.SetMode(0, RelayMode::Hold)));
  std::thread release([this] {
    std::this_thread::sleep_for(base::Millis(200));
    mRelay.SetMode(0, RelayMode::Forward);
  });
  const auto start = base::Clock::now();
  BOOST_TEST(Works(client));
  BOOST_TEST((base::Clock::now() - start >= base::Millis(190)));
  release.join();
}

BOOST_FIXTURE_TEST_CASE(RelayWithDelayDelaysEachDirection, RelayFixture)
{
  http::Client client(mEndpoint, base::Seconds(20));
  mRelay.SetDelay(0, base::Millis(50));
  const auto start = base::Clock::now();
  BOOST_TEST(Works(client));
  BOOST_TEST((base::Clock::now() - start >= base::Millis(100)));
}

// Guards against delayed bytes that arrive after the drop.
BOOST_FIXTURE_TEST_CASE(RelayDropDiscardsDelayedBytes, RelayFixture)
{
  http::Client client(mEndpoint, base::Millis(400));
  BOOST_TEST(Works(client));
  mRelay.SetDelay(0, base::Millis(100));
  std::thread drop([this] {
    std::this_thread::sleep_for(base::Millis(30));
    mRelay.DropExisting(0);
  });
  BOOST_TEST(!Works(client));
  drop.join();
}

// Guards against connections that pile up after their end.
BOOST_FIXTURE_TEST_CASE(RelayForgetsClosedConnections, RelayFixture)
{
  for (int i = 0; i < 3; ++i) {
    http::Client client(mEndpoint, base::Seconds(20));
    BOOST_TEST(Works(client));
  }
  BOOST_TEST(WaitUntil(base::Seconds(20), [this] { return mRelay.Stats(0).mOpen == 0; }));
  BOOST_TEST(mRelay.Stats(0).mAccepted == 3U);
}

}

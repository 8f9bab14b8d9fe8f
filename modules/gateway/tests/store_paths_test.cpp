#include "store_paths.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "relay_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace sycamore::gateway {

using boost::asio::ip::tcp;

// A process with a direct path to the store, and another one that serves it as a peer.
struct StorePathsFixture : LoopFixture
{
  static Member Named(const std::string& aInstance) { return { aInstance, {}, "", 0 }; }

  FakeLogStore* mDirectFake = new FakeLogStore;
  StorePaths mPaths{ mLoop.get_executor(), std::unique_ptr<LogStore>(mDirectFake), Named("own") };
  FakeLogStore* mPeerStore = new FakeLogStore;
  StorePaths mPeer{ mLoop.get_executor(), std::unique_ptr<LogStore>(mPeerStore), Named("peer") };
  FakeLogStore mNoAggregator;
  MemoryAccount mFrames{ SIZE_MAX };
  http::ConnectionLimit mConnections{ "peers", SIZE_MAX, http::ConnectionLimit::Yields::Waiting };
  const RelayServices mServices{ mPeer.DirectForPeers(),
                                 mNoAggregator,
                                 [] { return false; },
                                 [](const std::string& aAttempt) {
                                   return aAttempt == "known" ? std::optional<std::string>("text")
                                                              : std::nullopt;
                                 },
                                 {},
                                 {} };
  tcp::acceptor mAcceptor{ mLoop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
  std::optional<base::Result<Appended>> mAppended;
  std::optional<base::Result<StreamPage>> mPage;

  StorePathsFixture()
  {
    Spawn(Serve());
    mPaths.SetMembers({ { "peer", { "127.0.0.1", mAcceptor.local_endpoint().port() }, "", 0 } });
  }

  boost::asio::awaitable<void> Serve()
  {
    for (;;) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      Spawn(ServeRelay(std::move(socket), mServices, { mConnections, mFrames }));
    }
  }

  boost::asio::awaitable<void> Append(std::string aRecord)
  {
    std::vector<std::string> records{ std::move(aRecord) };
    mAppended = co_await mPaths.Append(StreamName::Programs, std::move(records), base::Millis(500));
  }

  boost::asio::awaitable<void> Read()
  {
    const ReadRange range{ 0, base::Millis(0) };
    mPage = co_await mPaths.Read(StreamName::Programs, range, base::Millis(500));
  }
};

// Guards against turns that cannot be completed while the platform refuses one machine only.
BOOST_FIXTURE_TEST_CASE(StorePathsDirectPathDownUsesThePeer, StorePathsFixture)
{
  mDirectFake->mDown = true;
  Spawn(Append(std::string("a\0b", 3)));
  RunUntil([&] { return mAppended.has_value(); });
  BOOST_TEST_REQUIRE(base::IsOk(*mAppended));
  BOOST_TEST(mPeerStore->mStreams[StreamName::Programs].at(0) == std::string("a\0b", 3));
  BOOST_TEST(mPaths.Reachable());
  Spawn(Read());
  RunUntil([&] { return mPage.has_value(); });
  BOOST_TEST_REQUIRE(base::IsOk(*mPage));
  BOOST_TEST(base::ValueOf(*mPage).mRecords.at(0).mValue.value() == std::string("a\0b", 3));
}

// Guards against calls that wait for the store while no path works: they must fail at once.
BOOST_FIXTURE_TEST_CASE(StorePathsNoPathWorksIsUnreachableAndFailsFast, StorePathsFixture)
{
  mDirectFake->mDown = true;
  mPeerStore->mDown = true;
  Spawn(Append("a"));
  RunUntil([&] { return mAppended.has_value(); });
  BOOST_TEST(!base::IsOk(*mAppended));
  BOOST_TEST(!mPaths.Reachable());
  BOOST_TEST(mPaths.DownForAll());
  const int calls = mDirectFake->mAppends;
  for (int i = 0; i < 20; ++i) {
    mAppended.reset();
    Spawn(Append("a"));
    RunUntil([&] { return mAppended.has_value(); });
  }
  BOOST_TEST(mDirectFake->mAppends - calls <= 4);
}

// Guards against a Retry-After time for a general outage when only this instance is cut off:
// another gateway can serve the callers at once.
BOOST_FIXTURE_TEST_CASE(StorePathsPeerOutOfReachIsNoOutageForAll, StorePathsFixture)
{
  mDirectFake->mDown = true;
  mAcceptor.close();
  Spawn(Append("a"));
  RunUntil([&] { return mAppended.has_value(); });
  BOOST_TEST(!base::IsOk(*mAppended));
  BOOST_TEST(!mPaths.Reachable());
  BOOST_TEST(!mPaths.DownForAll());
}

// Guards against a store that stays unused after it returned.
BOOST_FIXTURE_TEST_CASE(StorePathsAfterTheStoreReturnsUsesItAgain, StorePathsFixture)
{
  mDirectFake->mDown = true;
  mPeerStore->mDown = true;
  Spawn(Append("a"));
  RunUntil([&] { return mAppended.has_value(); });
  mDirectFake->mDown = false;
  RunUntil([&] {
    if (mAppended) {
      mAppended.reset();
      Spawn(Append("b"));
    }
    return mPaths.Reachable();
  });
  BOOST_TEST(mDirectFake->mStreams[StreamName::Programs].size() == 1U);
}

// Guards against a peer that never detects the recovery of its path to an idle stream: the
// requested wait is longer than the timeout of a call on a failed path.
BOOST_FIXTURE_TEST_CASE(StorePathsReadForAPeerWaitsLessThanItsLimit, StorePathsFixture)
{
  mPeerStore->mDown = true;
  const auto read = [&]() -> boost::asio::awaitable<void> {
    const ReadRange range{ 0, base::Millis(1000) };
    mPage = co_await mPeer.DirectForPeers().Read(StreamName::Programs, range, base::Millis(1700));
  };
  Spawn(read());
  RunUntil([&] { return mPage.has_value(); });
  mPage.reset();
  mPeerStore->mDown = false;
  mPeerStore->mLongestWait = base::Millis(0);
  Spawn(read());
  RunUntil([&] { return mPage.has_value(); });
  BOOST_TEST(base::IsOk(*mPage));
  BOOST_TEST((mPeerStore->mLongestWait <= base::Millis(350 / 2)));
}

// Guards against a text that is taken from the wrong gateway or invented, and against a wait for a
// gateway that has gone.
BOOST_FIXTURE_TEST_CASE(StorePathsTextComesFromItsWriterOrNotAtAll, StorePathsFixture)
{
  std::vector<std::optional<std::string>> texts;
  const auto ask = [&](uint32_t aWriter, std::string aAttempt) -> boost::asio::awaitable<void> {
    auto text = co_await mPaths.TextFrom(aWriter, std::move(aAttempt));
    texts.push_back(std::move(text));
  };
  for (const auto& [writer, attempt] : { std::pair("peer", "known"),
                                         std::pair("peer", "unknown"),
                                         std::pair("stranger", "known") }) {
    const size_t before = texts.size();
    Spawn(ask(WriterHash(writer), attempt));
    RunUntil([&] { return texts.size() > before; });
  }
  BOOST_TEST_REQUIRE(texts[0].has_value());
  BOOST_TEST(*texts[0] == "text");
  BOOST_TEST(!texts[1].has_value());
  BOOST_TEST(!texts[2].has_value());
}

}

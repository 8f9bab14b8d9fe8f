#include "sycamore/base/ring.h"
#include "sycamore/transport/peer_hub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

namespace sycamore::transport {

static constexpr base::Seconds kLimit{ 20 };

// One end of a connection under test.
struct Peer
{
  explicit Peer(const std::string& aName, PeerHubSettings aSettings = {})
    : mHub(aSettings, Hello(aName), [this](PeerEvent aEvent) {
      return mEvents.TryPush(std::move(aEvent));
    })
  {
    mEndpoint = base::ValueOf(mHub.Listen({ "127.0.0.1", 0 }));
  }

  static wire::HelloT Hello(const std::string& aName)
  {
    wire::HelloT hello;
    hello.instance = aName;
    hello.incarnation = aName.size();
    return hello;
  }

  // Waits for the next event of type T; other events are dropped.
  template<typename T>
  T Next()
  {
    const base::TimePoint end = base::Clock::now() + kLimit;
    while (base::Clock::now() < end) {
      auto event = mEvents.PopFor(base::Millis(100));
      if (event && std::holds_alternative<T>(*event)) {
        return std::get<T>(*event);
      }
    }
    BOOST_FAIL("no such event");
    return {};
  }

  // Waits for the next frame that is no heartbeat.
  std::shared_ptr<wire::FrameT> NextFrame()
  {
    while (true) {
      auto frame = Next<PeerFrame>().mFrame;
      if (frame->body.type != wire::Body::Heartbeat) {
        return frame;
      }
    }
  }

  base::Ring<PeerEvent> mEvents{ 1024 };
  http::Endpoint mEndpoint;
  PeerHub mHub;
};

static wire::FrameT
Token(uint32_t aIndex)
{
  wire::CallTokenT token;
  token.index = aIndex;
  return wire::MakeFrame(std::move(token));
}

struct PeerHubFixture
{
  static PeerHubSettings Fast()
  {
    PeerHubSettings settings;
    settings.mHeartbeatBase = base::Millis(20);
    settings.mSilenceLimit = base::Millis(200);
    settings.mControlBytesPerSecond = size_t{ 1 } << 20;
    return settings;
  }
};

// Guards against frames lost or reordered on a healthy connection.
BOOST_FIXTURE_TEST_CASE(PeerHubFramesArriveInOrder, PeerHubFixture)
{
  Peer server("server");
  Peer client("client1");
  client.mHub.Dial(server.mEndpoint);
  const auto connected = client.Next<PeerConnected>();
  BOOST_TEST(connected.mHello->instance == "server");
  for (uint32_t i = 0; i < 200; ++i) {
    BOOST_TEST(client.mHub.Send(connected.mLink, Token(i)));
  }
  for (uint32_t i = 0; i < 200; ++i) {
    BOOST_TEST(server.NextFrame()->body.AsCallToken()->index == i);
  }
}

// Guards against a peer that is reported as lost while it only has nothing to say.
BOOST_FIXTURE_TEST_CASE(PeerHubIdleLinkIsKeptByHeartbeats, PeerHubFixture)
{
  Peer server("server", Fast());
  Peer client("client1", Fast());
  client.mHub.Dial(server.mEndpoint);
  const auto connected = client.Next<PeerConnected>();
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST((client.Next<PeerFrame>().mLink == connected.mLink));
  }
}

// Guards against waiting for ever on a connection that went silent without closing.
BOOST_FIXTURE_TEST_CASE(PeerHubSilentLinkIsClosed, PeerHubFixture)
{
  Peer server("server", Fast());
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(
    { boost::asio::ip::make_address(server.mEndpoint.mAddress), server.mEndpoint.mPort });
  boost::asio::write(
    socket, boost::asio::buffer(wire::EncodeFrame(wire::MakeFrame(Peer::Hello("silent")))));
  server.Next<PeerConnected>();
  BOOST_TEST(server.Next<PeerLost>().mReason == "silent");
}

// Guards against frames of an old connection that are delivered after those of a newer one.
BOOST_FIXTURE_TEST_CASE(PeerHubNewerGenerationClosesOlderLink, PeerHubFixture)
{
  Peer server("server");
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> sockets;
  LinkId first = 0;
  for (uint64_t generation = 1; generation <= 2; ++generation) {
    auto& socket = sockets.emplace_back(context);
    socket.connect(
      { boost::asio::ip::make_address(server.mEndpoint.mAddress), server.mEndpoint.mPort });
    auto hello = Peer::Hello("client1");
    hello.generation = generation;
    boost::asio::write(socket,
                       boost::asio::buffer(wire::EncodeFrame(wire::MakeFrame(std::move(hello)))));
    if (generation == 1) {
      first = server.Next<PeerConnected>().mLink;
    }
  }
  BOOST_TEST(server.Next<PeerLost>().mLink == first);
  BOOST_TEST(server.Next<PeerConnected>().mHello->generation == 2U);
}

// Guards against a process that restarts and is never dialled again.
BOOST_FIXTURE_TEST_CASE(PeerHubPeerThatRestartsIsDialledAgain, PeerHubFixture)
{
  auto server = std::make_unique<Peer>("server");
  const http::Endpoint endpoint = server->mEndpoint;
  Peer client("client1");
  client.mHub.Dial(endpoint);
  client.Next<PeerConnected>();
  server.reset();
  client.Next<PeerLost>();
  PeerHub again({}, Peer::Hello("again"), [](const PeerEvent&) { return true; });
  BOOST_REQUIRE(base::IsOk(again.Listen(endpoint)));
  BOOST_TEST(client.Next<PeerConnected>().mHello->instance == "again");
}

// Guards against frames lost without notice when the receiver cannot take them.
BOOST_FIXTURE_TEST_CASE(PeerHubReceiverThatRefusesLosesTheLink, PeerHubFixture)
{
  PeerHub server({}, Peer::Hello("server"), [](const PeerEvent& aEvent) {
    return !std::holds_alternative<PeerFrame>(aEvent);
  });
  Peer client("client1");
  client.mHub.Dial(base::ValueOf(server.Listen({ "127.0.0.1", 0 })));
  const auto connected = client.Next<PeerConnected>();
  client.mHub.Send(connected.mLink, Token(1));
  BOOST_TEST(client.Next<PeerLost>().mLink == connected.mLink);
}

// Guards against garbage from a foreign program that is taken for a frame.
BOOST_FIXTURE_TEST_CASE(PeerHubFrameBeforeHelloClosesLink, PeerHubFixture)
{
  Peer server("server");
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(
    { boost::asio::ip::make_address(server.mEndpoint.mAddress), server.mEndpoint.mPort });
  boost::asio::write(socket, boost::asio::buffer(wire::EncodeFrame(Token(1))));
  std::array<char, 4096> buffer{};
  boost::system::error_code code;
  while (!code) {
    socket.read_some(boost::asio::buffer(buffer), code);
  }
  BOOST_TEST(server.mEvents.Size() == 0U);
}

// Guards against anyone who connects, announces the longest frame and makes the process take its
// memory.
BOOST_AUTO_TEST_CASE(PeerHubLongFirstFrameEndsTheConnection)
{
  PeerHubSettings settings;
  settings.mSilenceLimit = base::Seconds(600);
  Peer peer("a", settings);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(peer.mEndpoint.mAddress), peer.mEndpoint.mPort });
  const std::string length{ 0, 0, 0, 1 }; // 16 MB, the longest frame.
  boost::asio::write(socket, boost::asio::buffer(length));
  auto ended = std::async(std::launch::async, [&] {
    char received[256];
    boost::system::error_code error;
    while (!error) {
      socket.read_some(boost::asio::buffer(received), error);
    }
  });
  BOOST_TEST((ended.wait_for(kLimit) == std::future_status::ready));
  boost::system::error_code ignored;
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
}

}

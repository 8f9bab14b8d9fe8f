#include "sycamore/base/ring.h"
#include "sycamore/http/async_client.h"
#include "sycamore/http/client.h"
#include "sycamore/http/server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>
#include <vector>

namespace sycamore::http {

// A server whose requests are answered by the test.
struct ServerFixture
{
  static constexpr size_t kMaxConnections = 16;

  ServerFixture()
    : mServer(ServerLimits{ 1024, base::Millis(30000), kMaxConnections, size_t{ 1 } << 20 },
              { [this](Request aRequest) { return mRequests.TryPush(std::move(aRequest)); },
                [this](uint64_t aId) { mClosed.TryPush(aId); } })
  {
    mEndpoint = base::ValueOf(mServer.Listen({ "127.0.0.1", 0 }));
  }

  Request Next()
  {
    auto request = mRequests.PopFor(base::Seconds(20));
    BOOST_REQUIRE(request.has_value());
    return std::move(*request);
  }

  void Answer(const Request& aRequest, std::string aBody)
  {
    ResponsePart part;
    part.mRequest = aRequest.mId;
    part.mBody = std::move(aBody);
    mServer.Send(part);
  }

  static ClientRequest Post(std::string aBody)
  {
    ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/v1/x?y=1";
    request.mBody = std::move(aBody);
    return request;
  }

  base::Ring<Request> mRequests{ 16 };
  base::Ring<uint64_t> mClosed{ 16 };
  Endpoint mEndpoint;
  Server mServer;
};

// Guards against lost fields and against mixing answers of a kept connection.
BOOST_FIXTURE_TEST_CASE(ServerTwoRequestsOnOneConnectionGetTheirAnswers, ServerFixture)
{
  Client client(mEndpoint, base::Seconds(20));
  for (const std::string body : { "one", "two" }) {
    auto answer = std::async(std::launch::async, [&] { return client.Perform(Post(body)); });
    const Request request = Next();
    BOOST_TEST(request.mMethod == "POST");
    BOOST_TEST(request.mPath == "/v1/x");
    BOOST_TEST(request.mQuery == "y=1");
    Answer(request, request.mBody + "!");
    BOOST_TEST(base::ValueOf(answer.get()).mBody == body + "!");
  }
}

// Guards against streams that arrive only as a whole or out of order.
BOOST_FIXTURE_TEST_CASE(ServerStreamedPartsArriveInOrder, ServerFixture)
{
  Client client(mEndpoint, base::Seconds(20));
  std::string received;
  auto answer = std::async(std::launch::async, [&] {
    return client.PerformStreaming(Post("x"), [&](std::string_view aData) {
      received += aData;
      return true;
    });
  });
  const Request request = Next();
  for (int i = 0; i < 100; ++i) {
    ResponsePart part;
    part.mRequest = request.mId;
    part.mFirst = i == 0;
    part.mLast = i == 99;
    part.mContentType = "text/event-stream";
    part.mBody = std::to_string(i) + ",";
    mServer.Send(part);
  }
  BOOST_TEST(base::ValueOf(answer.get()).mContentType == "text/event-stream");
  BOOST_TEST(received.starts_with("0,1,2,3,"));
  BOOST_TEST(received.ends_with("98,99,"));
}

// Guards against reading a body of any size into memory.
BOOST_FIXTURE_TEST_CASE(ServerBodyOverTheLimitIsAnswered413, ServerFixture)
{
  Client client(mEndpoint, base::Seconds(20));
  const auto answer = client.Perform(Post(std::string(2000, 'x')));
  BOOST_TEST(base::ValueOf(answer).mStatus == 413);
  BOOST_TEST(!mRequests.TryPop().has_value());
}

// Guards against work that goes on for a caller that has gone.
BOOST_FIXTURE_TEST_CASE(ServerCallerThatClosesIsReported, ServerFixture)
{
  AsyncClient client;
  std::promise<SendProgress> failed;
  const uint64_t id = client.Start(
    mEndpoint,
    Post("x"),
    base::Seconds(20),
    { {},
      [](const ClientResponse&) {},
      [&](const base::Error&, SendProgress aProgress) { failed.set_value(aProgress); } });
  const Request request = Next();
  client.Cancel(id);
  BOOST_TEST((failed.get_future().get() == SendProgress::MaybeSent));
  BOOST_TEST(mClosed.PopFor(base::Seconds(20)).value() == request.mId);
}

// Guards against "not run" after a byte was sent, and against "maybe run" if none was.
BOOST_FIXTURE_TEST_CASE(ClientToClosedPortReportsNothingSent, ServerFixture)
{
  mServer.Stop();
  AsyncClient client;
  std::promise<std::pair<base::ErrorKind, SendProgress>> failed;
  client.Start({ "127.0.0.1", 1 },
               Post("x"),
               base::Seconds(20),
               { {},
                 [](const ClientResponse&) {},
                 [&](const base::Error& aError, SendProgress aProgress) {
                   failed.set_value({ aError.mKind, aProgress });
                 } });
  const auto [kind, progress] = failed.get_future().get();
  BOOST_TEST((kind == base::ErrorKind::TargetRefused));
  BOOST_TEST((progress == SendProgress::NothingSent));
}

// Guards against a caller that waits for ever on a server that never answers.
BOOST_FIXTURE_TEST_CASE(ClientWithoutAnswerTimesOut, ServerFixture)
{
  Client client(mEndpoint, base::Millis(50));
  const auto answer = client.Perform(Post("x"));
  BOOST_REQUIRE(!base::IsOk(answer));
  BOOST_TEST((base::ErrorOf(answer).mKind == base::ErrorKind::TargetTimeout));
}

// A server that answers one request with aBegin and then repeats aRepeated until the client closes
// the connection.
struct EndlessServer
{
  EndlessServer(std::string aBegin, std::string aRepeated)
    : mAcceptor(mContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mThread([this, begin = std::move(aBegin), repeated = std::move(aRepeated)] {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(mContext);
      mAcceptor.accept(socket, error);
      boost::asio::write(socket, boost::asio::buffer(begin), error);
      while (!error) {
        boost::asio::write(socket, boost::asio::buffer(repeated), error);
      }
    })
  {
  }

  ~EndlessServer() { mThread.join(); }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  Endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

// Guards against a server that sends without end and fills the memory of the process.
BOOST_AUTO_TEST_CASE(ClientEndlessAnswerFails)
{
  const std::string block(65536, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& begin :
       { head + "\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4;x=", head + "X-Long: " }) {
    EndlessServer server(begin, block);
    Client client(server.Address(), base::Seconds(20));
    const auto answer = client.Perform(ServerFixture::Post("x"));
    BOOST_REQUIRE(!base::IsOk(answer));
    BOOST_TEST((base::ErrorOf(answer).mKind == base::ErrorKind::ConnectionLost));
  }
}

// Guards against trailers without end, which the server would hold until its memory is full.
BOOST_FIXTURE_TEST_CASE(ServerEndlessTrailersEndTheConnection, ServerFixture)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(mEndpoint.mAddress), mEndpoint.mPort });
  std::string bytes = "POST /v1/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  while (bytes.size() < size_t{ 1 } << 20) {
    bytes += "x: y\r\n";
  }
  auto ended = std::async(std::launch::async, [&] {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    char received[4096];
    while (!error) {
      socket.read_some(boost::asio::buffer(received), error);
    }
  });
  BOOST_TEST((ended.wait_for(base::Seconds(20)) == std::future_status::ready));
  boost::system::error_code ignored;
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
}

// Guards against connections that send nothing, or half a head, and take all descriptors.
BOOST_FIXTURE_TEST_CASE(ServerCrowdOfSilentConnectionsLeavesRoom, ServerFixture)
{
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> crowd;
  for (size_t i = 0; i < 3 * kMaxConnections; ++i) {
    crowd.emplace_back(context).connect(
      { boost::asio::ip::make_address(mEndpoint.mAddress), mEndpoint.mPort });
    boost::asio::write(crowd.back(), boost::asio::buffer(std::string(i % 2 == 0 ? "" : "GET /")));
  }
  Client client(mEndpoint, base::Seconds(20));
  auto answer = std::async(std::launch::async, [&] { return client.Perform(Post("one")); });
  Answer(Next(), "two");
  BOOST_TEST(base::ValueOf(answer.get()).mBody == "two");
  // The first connection has been closed to make room.
  char received = 0;
  boost::system::error_code error;
  crowd.front().read_some(boost::asio::buffer(&received, 1), error);
  BOOST_TEST(error.failed());
}

// Guards against a number that is no status, and against an interim answer, which callers of the
// client would take for the answer: RFC 9110, section 15, knows 100 to 599, and 1xx are interim.
BOOST_AUTO_TEST_CASE(ClientAnswerWithInvalidStatusIsAnError)
{
  for (const std::string status : { "000", "099", "100", "199", "600", "999" }) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            { boost::asio::ip::address_v4::loopback(), 0 });
    const uint16_t port = acceptor.local_endpoint().port();
    auto served = std::async(std::launch::async, [&] {
      boost::asio::ip::tcp::socket socket = acceptor.accept();
      char request[4096];
      socket.read_some(boost::asio::buffer(request));
      boost::asio::write(
        socket, boost::asio::buffer("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"));
    });
    Client client({ "127.0.0.1", port }, base::Seconds(20));
    const auto answer = client.Perform(ClientRequest{});
    BOOST_REQUIRE(!base::IsOk(answer));
    BOOST_TEST((base::ErrorOf(answer).mKind == base::ErrorKind::ConnectionLost));
    served.get();
  }
}

}

#pragma once

#include "caller_link.h"
#include "memory_account.h"
#include "sycamore/gateway/route_table.h"
#include "sycamore/http/connection_limit.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>

namespace sycamore::gateway {

// Answers one request of a caller.
using CallHandler = std::function<boost::asio::awaitable<void>(CallerLink&, CallerRequest)>;

// Provides the limits in force and whether the process is stopping; queried at each request.
struct SessionPolicy
{
  std::function<CallerLimits()> mLimits;
  std::function<bool()> mStopping;
  MemoryAccount& mBodies;
  MemoryAccount& mRequests;            // For heads, and for what a call takes besides its body.
  http::ConnectionLimit& mConnections; // Of the listening address.
};

// Answers a connection that cannot be served with 503 and closes it. Does not wait for the caller.
void
RefuseConnection(boost::asio::ip::tcp::socket aSocket);

// One connection of a caller. Reads and answers one request at a time.
class CallerSession
  : public CallerLink
  , public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(boost::asio::ip::tcp::socket aSocket,
                const SessionPolicy& aPolicy,
                const CallHandler& aHandler);

  // Serves the connection until it ends.
  boost::asio::awaitable<void> Run();

  // Closes the connection at once if it is idle, otherwise after the current answer.
  void CloseAfterCurrentCall();

  boost::asio::awaitable<bool> SendWhole(WholeAnswer aAnswer) override;
  boost::asio::awaitable<bool> BeginStream(boost::beast::http::response_header<> aHeader) override;
  boost::asio::awaitable<bool> SendPiece(std::string_view aBytes) override;
  boost::asio::awaitable<bool> EndStream() override;
  bool Gone() const override { return mGone; }
  void SetGoneHandler(std::function<void()> aHandler) override;

private:
  enum class ReadResult : uint8_t
  {
    Complete,
    Closed,   // By the caller, or idle for too long.
    Answered, // With an error; the connection must close, since the next request's start is
              // unknown.
  };

  boost::asio::awaitable<bool> WaitForBytes(base::Millis aTimeout);
  // The request's body counts in aBody, the rest of it in mRequest.
  boost::asio::awaitable<ReadResult> ReadRequest(CallerRequest& aOut, MemoryAccount::Hold& aBody);
  // Takes aBytes for the current request. If the memory is short, closes connections whose
  // requests have been arriving for longer. False if it is short all the same.
  bool GrowRequest(size_t aBytes);
  // Answers a request for which there is no memory.
  boost::asio::awaitable<ReadResult> RejectForMemory();
  boost::asio::awaitable<ReadResult> Reject(boost::system::error_code aError);
  // Answers a request that was not read to its end.
  boost::asio::awaitable<ReadResult> AnswerUnread(WholeAnswer aAnswer);
  static boost::asio::awaitable<void> WatchForClose(std::shared_ptr<CallerSession> aSelf,
                                                    uint64_t aCall);
  boost::asio::awaitable<void> CloseGracefully();
  void MarkGone();
  // Closes the connection at once, so that others can be served.
  void Yield();

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  const SessionPolicy& mPolicy;
  http::ConnectionLimit::Member mMember;
  size_t mHeadBytes = 0;        // Of the current request.
  MemoryAccount::Hold mRequest; // What the current request takes besides its body.
  const CallHandler& mHandler;
  std::function<void()> mGoneHandler;
  uint64_t mCall = 0;     // Sequence number of the current request.
  bool mWatching = false; // WatchForClose is waiting on the socket.
  bool mGone = false;
  bool mStreaming = false; // Header sent, end not sent.
  bool mKeepAlive = true;
  bool mIdle = false; // Waits for the first byte of a request.
};

}

#pragma once

#include "sycamore/http/connection_limit.h"
#include "sycamore/http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace sycamore::http {

class ServerSession;

// What a session needs of its server. All calls are made on the server's thread.
struct SessionHost
{
  ServerLimits mLimits;
  std::function<uint64_t(std::shared_ptr<ServerSession>)>
    mOpenRequest;                              // Registers; returns the id.
  std::function<void(uint64_t)> mCloseRequest; // Unregisters.
  std::function<bool(Request)> mOnRequest;
  std::function<void(uint64_t)> mOnClosed;
  std::shared_ptr<ConnectionLimit> mConnections;
};

// One connection of a caller; serves its requests one after the other. Owned by its pending
// operations and by the server's table of open requests. Used on the server's thread only.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  // Counts in the limit of aHost.
  ServerSession(boost::asio::ip::tcp::socket aSocket, const SessionHost& aHost);

  void Start();

  // Queues a part of the answer to the open request.
  void Send(const ResponsePart& aPart);

  // Closes the connection without further reports.
  void Abort();

private:
  // Limits the bytes that wait for the parser, which needs a whole head, chunk header or trailer
  // section before it goes on; a longer one is refused. Above the parser's limit of a head.
  static constexpr size_t kMaxUnparsedBytes = 16384;

  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadRequest();
  void OnRead(const boost::system::error_code& aCode);
  void Deliver();
  void Refuse(base::ErrorKind aKind, bool aClose);
  void WatchForClose();
  void QueueHead(const ResponsePart& aPart);
  void Queue(std::string aBytes);
  void Write();
  void OnWritten(const boost::system::error_code& aCode);
  void FinishRequest();
  void ReportClosed();
  void Close();

  const SessionHost& mHost;
  boost::beast::tcp_stream mStream;
  ConnectionLimit::Member mMember;
  boost::beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::optional<Parser> mParser;
  uint64_t mRequest = 0; // 0 while no request is open.
  bool mKeepAlive = true;
  bool mChunked = false;
  bool mAnswered = false; // The last part is queued.
  bool mClosed = false;
  size_t mQueuedBytes = 0;
  std::deque<std::string> mOut;
};

}

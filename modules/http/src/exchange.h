#pragma once

#include "sycamore/http/async_client.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace sycamore::http {

// A connection that may be kept for the next request.
struct Connection
{
  // Limits the bytes that wait for the parser, which needs a whole head, chunk header or trailer
  // before it goes on; reading fails when one does not fit.
  static constexpr size_t kMaxUnparsedBytes = 65536;

  explicit Connection(boost::asio::io_context& aContext)
    : mStream(aContext)
  {
  }

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
};

// Whether a kept connection is still open and has no unread bytes.
bool
IsReusable(Connection& aConnection);

// Reports of an exchange, on the thread of its io_context.
struct ExchangeHandlers
{
  std::function<bool(std::string_view)>
    mOnData; // If set, receives the body; false ends the exchange.
  // The connection is passed back if it may be kept, otherwise null.
  std::function<void(ClientResponse, std::unique_ptr<Connection>)> mOnDone;
  std::function<void(base::Error, SendProgress)> mOnError;
};

// One request and its answer on one connection. Owned by its pending operations.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  // aConnection is a kept connection, or null to connect to aEndpoint first. aDeadline bounds the
  // whole exchange, and with aRestartDeadline each piece of the answer instead.
  Exchange(boost::asio::io_context& aContext,
           Endpoint aEndpoint,
           std::unique_ptr<Connection> aConnection,
           base::Millis aDeadline,
           bool aRestartDeadline,
           ExchangeHandlers aHandlers);

  void Start(const ClientRequest& aRequest);

  // Closes the connection; the exchange reports ConnectionLost.
  void Cancel();

private:
  void ArmTimer();
  void Connect();
  void Write();
  void ReadHead();
  void ReadBody();
  void OnBody(const boost::system::error_code& aCode);
  bool PassOn(size_t aSize);
  void Succeed();
  void Fail(const boost::system::error_code& aCode);

  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::io_context& mContext;
  Endpoint mEndpoint;
  std::unique_ptr<Connection> mConnection;
  bool mConnected;
  base::Millis mDeadline;
  bool mRestartDeadline;
  ExchangeHandlers mHandlers;
  boost::asio::steady_timer mTimer;
  boost::beast::http::request<boost::beast::http::string_body> mRequest;
  Parser mParser;
  std::array<char, 16384> mPiece{};
  ClientResponse mResponse;
  SendProgress mProgress = SendProgress::NothingSent;
  bool mTimedOut = false;
  bool mFinished = false;
};

}

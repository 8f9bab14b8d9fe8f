#include "exchange.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace sycamore::http {

namespace beast = boost::beast;
using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr int kHttpVersion = 11;
// RFC 9110, section 15, knows no other status of a final answer. The parser takes any three digits.
// The client asks for no interim answer; what follows one must not be taken for the next answer.
static constexpr unsigned kMinFinalStatus = 200;
static constexpr unsigned kMaxFinalStatus = 599;
// Limit of a body that is collected: a server that sends without end would fill the memory. Larger
// than any answer of the log, a target or a process's state dump.
static constexpr size_t kMaxCollectedBytes = size_t{ 64 } << 20;

bool
IsReusable(Connection& aConnection)
{
  if (!aConnection.mStream.socket().is_open() || aConnection.mBuffer.size() != 0) {
    return false;
  }
  error_code code;
  char byte = 0;
  aConnection.mStream.socket().non_blocking(true, code);
  aConnection.mStream.socket().receive(
    boost::asio::buffer(&byte, 1), tcp::socket::message_peek, code);
  return code == boost::asio::error::would_block;
}

Exchange::Exchange(boost::asio::io_context& aContext,
                   Endpoint aEndpoint,
                   std::unique_ptr<Connection> aConnection,
                   base::Millis aDeadline,
                   bool aRestartDeadline,
                   ExchangeHandlers aHandlers)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mConnection(std::move(aConnection))
  , mConnected(mConnection != nullptr)
  , mDeadline(std::max(aDeadline, base::Millis(1)))
  , mRestartDeadline(aRestartDeadline)
  , mHandlers(std::move(aHandlers))
  , mTimer(aContext)
{
  if (!mConnection) {
    mConnection = std::make_unique<Connection>(mContext);
  }
  mParser.body_limit(std::numeric_limits<uint64_t>::max());
}

void
Exchange::Start(const ClientRequest& aRequest)
{
  mRequest.version(kHttpVersion);
  mRequest.method_string(aRequest.mMethod);
  mRequest.target(aRequest.mTarget);
  mRequest.set(beast::http::field::host, ToString(mEndpoint));
  if (!aRequest.mBody.empty() || aRequest.mMethod != "GET") {
    mRequest.set(beast::http::field::content_type, aRequest.mContentType);
  }
  for (const auto& [name, value] : aRequest.mHeaders) {
    mRequest.set(name, value);
  }
  mRequest.body() = aRequest.mBody;
  mRequest.keep_alive(true);
  mRequest.prepare_payload();
  ArmTimer();
  if (mConnected) {
    Write();
  } else {
    Connect();
  }
}

void
Exchange::Cancel()
{
  mConnection->mStream.close();
}

void
Exchange::ArmTimer()
{
  mTimer.expires_after(mDeadline);
  mTimer.async_wait([self = shared_from_this()](const error_code& aCode) {
    if (!aCode && !self->mFinished) {
      self->mTimedOut = true;
      self->Cancel();
    }
  });
}

void
Exchange::Connect()
{
  error_code code;
  const tcp::endpoint address(boost::asio::ip::make_address(mEndpoint.mAddress, code),
                              mEndpoint.mPort);
  mConnection->mStream.async_connect(address, [self = shared_from_this()](const error_code& aCode) {
    if (aCode) {
      self->Fail(aCode);
      return;
    }
    error_code ignored;
    self->mConnection->mStream.socket().set_option(tcp::no_delay(true), ignored);
    self->Write();
  });
}

void
Exchange::Write()
{
  // From here on a failure may have reached the server: the write may have been partial.
  mProgress = SendProgress::MaybeSent;
  beast::http::async_write(
    mConnection->mStream, mRequest, [self = shared_from_this()](const error_code& aCode, size_t) {
      if (aCode) {
        self->Fail(aCode);
      } else {
        self->ReadHead();
      }
    });
}

void
Exchange::ReadHead()
{
  beast::http::async_read_header(
    mConnection->mStream,
    mConnection->mBuffer,
    mParser,
    [self = shared_from_this()](const error_code& aCode, size_t) {
      if (aCode) {
        self->Fail(aCode);
        return;
      }
      const auto& head = self->mParser.get();
      if (head.result_int() < kMinFinalStatus || head.result_int() > kMaxFinalStatus) {
        self->Fail(beast::http::error::bad_status);
        return;
      }
      self->mResponse.mStatus = head.result_int();
      self->mResponse.mContentType = head[beast::http::field::content_type];
      const auto after = head[beast::http::field::retry_after];
      int64_t seconds = 0;
      std::from_chars(after.data(), after.data() + after.size(), seconds);
      self->mResponse.mRetryAfter = base::Seconds(seconds);
      self->ReadBody();
    });
}

void
Exchange::ReadBody()
{
  if (mParser.is_done()) {
    Succeed();
    return;
  }
  mParser.get().body().data = mPiece.data();
  mParser.get().body().size = mPiece.size();
  mParser.get().body().more = true;
  beast::http::async_read_some(
    mConnection->mStream,
    mConnection->mBuffer,
    mParser,
    [self = shared_from_this()](const error_code& aCode, size_t) { self->OnBody(aCode); });
}

void
Exchange::OnBody(const error_code& aCode)
{
  // need_buffer only says that the piece is full.
  if (aCode && aCode != beast::http::error::need_buffer) {
    Fail(aCode);
    return;
  }
  if (mRestartDeadline) {
    ArmTimer();
  }
  if (!PassOn(mPiece.size() - mParser.get().body().size)) {
    Fail(boost::asio::error::operation_aborted);
    return;
  }
  if (mResponse.mBody.size() > kMaxCollectedBytes) {
    Fail(beast::http::error::body_limit);
    return;
  }
  ReadBody();
}

// Hands aSize bytes of the piece to the receiver. Returns false if it wants no more.
bool
Exchange::PassOn(size_t aSize)
{
  const std::string_view data(mPiece.data(), aSize);
  if (mHandlers.mOnData) {
    return data.empty() || mHandlers.mOnData(data);
  }
  mResponse.mBody += data;
  return true;
}

void
Exchange::Succeed()
{
  mFinished = true;
  mTimer.cancel();
  const bool keep = mParser.get().keep_alive();
  mHandlers.mOnDone(std::move(mResponse), keep ? std::move(mConnection) : nullptr);
}

void
Exchange::Fail(const error_code& aCode)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mTimer.cancel();
  mConnection->mStream.close();
  const bool sent = mProgress == SendProgress::MaybeSent;
  const base::ErrorKind kind = !sent       ? base::ErrorKind::TargetRefused
                               : mTimedOut ? base::ErrorKind::TargetTimeout
                                           : base::ErrorKind::ConnectionLost;
  const std::string what = mTimedOut ? "timed out" : aCode.message();
  mHandlers.mOnError({ kind, fmt::format("{}: {}", ToString(mEndpoint), what), "" }, mProgress);
}

}

#include "caller_session.h"

#include "async.h"
#include "head_reader.h"
#include "memory_shares.h"
#include "sycamore/base/log.h"
#include "sycamore/http/error_body.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::Millis;
using boost::asio::ip::tcp;

// Timeout of a body after its header; callers send bodies of up to a few megabytes.
static constexpr base::Seconds kBodyTimeout{ 10 };
// A caller that reads nothing for this long is treated as disconnected.
static constexpr base::Seconds kWriteTimeout{ 10 };
// After the last answer of a connection, the caller has this long to close it first: closing a
// socket with unread bytes sends a reset, which can discard the answer in transit.
static constexpr Millis kLingerTimeout{ 300 };
static constexpr size_t kReadSize = 4096;
// Room for the first read of a request; mostly enough for its head.
static constexpr size_t kFirstReadSize = 1024;
// Retry-After time of a request for which there is no memory or no connection: others end within
// it.
static constexpr Millis kRetryAfterShortOfRoom{ 500 };

WholeAnswer
ErrorAnswer(const base::Error& aError, std::optional<std::chrono::milliseconds> aRetryAfter)
{
  WholeAnswer answer(static_cast<http::status>(base::AnswerFor(aError.mKind).mHttpStatus), 11);
  answer.set(http::field::content_type, "application/json");
  if (aRetryAfter) {
    answer.set(http::field::retry_after,
               fmt::format("{:.3f}", std::chrono::duration<double>(*aRetryAfter).count()));
  }
  answer.body() = sycamore::http::ErrorBody(aError);
  return answer;
}

void
RefuseConnection(tcp::socket aSocket)
{
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  // Closing a socket with unread bytes sends a reset, which can discard the answer in transit.
  std::array<char, kReadSize> unread;
  aSocket.read_some(boost::asio::buffer(unread), error);
  WholeAnswer answer = ErrorAnswer(
    { base::ErrorKind::Overloaded, "too many connections are open", "" }, kRetryAfterShortOfRoom);
  answer.keep_alive(false);
  answer.prepare_payload();
  std::ostringstream text;
  text << answer;
  aSocket.write_some(boost::asio::buffer(text.str()), error);
}

CallerSession::CallerSession(tcp::socket aSocket,
                             const SessionPolicy& aPolicy,
                             const CallHandler& aHandler)
  : mStream(std::move(aSocket))
  , mPolicy(aPolicy)
  , mMember(aPolicy.mConnections, [this] { Yield(); })
  , mRequest(aPolicy.mRequests)
  , mHandler(aHandler)
{
}

boost::asio::awaitable<void>
CallerSession::Run()
{
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  mStream.socket().set_option(tcp::no_delay(true), ignored);
  while (mKeepAlive && !mGone) {
    CallerRequest request;
    MemoryAccount::Hold body(mPolicy.mBodies);
    if (co_await ReadRequest(request, body) != ReadResult::Complete) {
      break;
    }
    mMember.Enter(sycamore::http::ConnectionPhase::Serving);
    ++mCall;
    mKeepAlive = mKeepAlive && request.keep_alive();
    boost::asio::co_spawn(mStream.get_executor(), WatchForClose(self, mCall), LogFailure{});
    co_await mHandler(*this, std::move(request));
    mGoneHandler = nullptr;
    mRequest.Release();
    if (mStreaming) {
      break; // The answer was truncated.
    }
    if (mWatching) {
      mStream.socket().cancel(ignored);
    }
  }
  if (!mStreaming && !mGone) {
    co_await CloseGracefully();
  }
  mStream.close();
}

void
CallerSession::CloseAfterCurrentCall()
{
  mKeepAlive = false;
  if (mIdle) {
    mStream.cancel();
  }
}

boost::asio::awaitable<bool>
CallerSession::WaitForBytes(Millis aTimeout)
{
  if (mBuffer.size() > 0) {
    co_return true;
  }
  mStream.expires_after(aTimeout);
  mIdle = true;
  const auto [error, bytes] =
    co_await mStream.async_read_some(mBuffer.prepare(kFirstReadSize), kAsTuple);
  mIdle = false;
  mBuffer.commit(bytes);
  co_return !error;
}

boost::asio::awaitable<CallerSession::ReadResult>
CallerSession::ReadRequest(CallerRequest& aOut, MemoryAccount::Hold& aBody)
{
  const CallerLimits limits = mPolicy.mLimits();
  mMember.Enter(sycamore::http::ConnectionPhase::Idle);
  if (!co_await WaitForBytes(limits.mIdleTimeout)) {
    co_return ReadResult::Closed;
  }
  mMember.Enter(sycamore::http::ConnectionPhase::Reading);
  // The parser needs a whole head, chunk header or trailer section before it goes on, and limits
  // none but the head itself.
  mBuffer.max_size(std::max({ limits.mMaxHeaderBytes, kReadSize, mBuffer.size() }));
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<uint32_t>(limits.mMaxHeaderBytes));
  parser.body_limit(limits.mMaxBodyBytes);
  mStream.expires_after(limits.mHeaderTimeout);
  boost::system::error_code error = co_await ReadHead(
    mStream, mBuffer, parser, [this](size_t aBytes) { return GrowRequest(aBytes); });
  const size_t trailerBytes = parser.chunked() ? mBuffer.max_size() : 0;
  bool fits = error != boost::system::errc::not_enough_memory;
  fits = fits && (error || (aBody.Grow(parser.content_length().value_or(0)) &&
                            GrowRequest(MemoryOf(parser.get()) + trailerBytes)));
  if (!error && fits && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::tie(error, std::ignore) =
      co_await boost::asio::async_write(mStream, boost::asio::buffer(kContinue), kAsTuple);
  }
  mStream.expires_after(kBodyTimeout);
  parser.eager(true);
  while (!error && fits && !parser.is_done()) {
    std::tie(error, std::ignore) =
      co_await http::async_read_some(mStream, mBuffer, parser, kAsTuple);
    fits = aBody.Grow(parser.get().body().size());
  }
  // Trailers are among the fields now. The fields are copied for the replica.
  mHeadBytes = MemoryOf(parser.get());
  fits = fits && (error || GrowRequest(kCallBytes + 2 * mHeadBytes));
  if (!fits) {
    co_return co_await RejectForMemory();
  }
  if (error) {
    co_return co_await Reject(error);
  }
  aOut = parser.release();
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit(); // The connection may be idle for long after this request.
  }
  co_return ReadResult::Complete;
}

bool
CallerSession::GrowRequest(size_t aBytes)
{
  while (!mRequest.Grow(aBytes)) {
    if (!mPolicy.mConnections.CloseReading(mMember)) {
      return false;
    }
  }
  return true;
}

boost::asio::awaitable<CallerSession::ReadResult>
CallerSession::RejectForMemory()
{
  base::Log(base::LogEvent::CallRefused,
            "no memory for a request: bodies={} of {} requests={} of {}",
            mPolicy.mBodies.HeldBytes(),
            mPolicy.mBodies.MaxBytes(),
            mPolicy.mRequests.HeldBytes(),
            mPolicy.mRequests.MaxBytes());
  const base::Error overloaded{ base::ErrorKind::Overloaded,
                                "too many large requests are in progress",
                                "" };
  WholeAnswer answer = ErrorAnswer(overloaded, kRetryAfterShortOfRoom);
  co_return co_await AnswerUnread(std::move(answer));
}

static base::Error
RejectionFor(boost::system::error_code aError)
{
  if (aError == http::error::header_limit) {
    return { base::ErrorKind::HeaderTooLarge, "the header is longer than allowed", "" };
  }
  if (aError == http::error::buffer_overflow) {
    return { base::ErrorKind::HeaderTooLarge,
             "a chunk header or the trailers are longer than allowed",
             "" };
  }
  if (aError == http::error::body_limit) {
    return { base::ErrorKind::BodyTooLarge, "the body is longer than allowed", "" };
  }
  if (aError == boost::beast::error::timeout) {
    return { base::ErrorKind::RequestTimeout, "the request took too long to arrive", "" };
  }
  return { base::ErrorKind::MalformedBody,
           "the request is not valid HTTP: " + aError.message(),
           "" };
}

boost::asio::awaitable<CallerSession::ReadResult>
CallerSession::Reject(boost::system::error_code aError)
{
  const bool isProtocolError =
    aError.category() == http::make_error_code(http::error::end_of_stream).category();
  const bool ended = aError == http::error::end_of_stream || aError == http::error::partial_message;
  if (ended || (!isProtocolError && aError != boost::beast::error::timeout)) {
    mGone = true;
    co_return ReadResult::Closed;
  }
  WholeAnswer answer = ErrorAnswer(RejectionFor(aError), std::nullopt);
  co_return co_await AnswerUnread(std::move(answer));
}

boost::asio::awaitable<CallerSession::ReadResult>
CallerSession::AnswerUnread(WholeAnswer aAnswer)
{
  mKeepAlive = false;
  co_await SendWhole(std::move(aAnswer));
  co_return ReadResult::Answered;
}

// Returns when the caller closes the connection or sends bytes, which belong to its next request.
boost::asio::awaitable<void>
CallerSession::WatchForClose(std::shared_ptr<CallerSession> aSelf, uint64_t aCall)
{
  tcp::socket& socket = aSelf->mStream.socket();
  aSelf->mWatching = true;
  const auto [error] = co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
  if (aCall != aSelf->mCall) {
    co_return; // The next request has its own watch.
  }
  aSelf->mWatching = false;
  if (error) {
    co_return;
  }
  char byte = 0;
  const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool closed = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (closed) {
    aSelf->MarkGone();
  }
}

void
CallerSession::MarkGone()
{
  if (!std::exchange(mGone, true) && mGoneHandler) {
    mGoneHandler();
  }
}

void
CallerSession::Yield()
{
  MarkGone();
  mStream.close();
  mRequest.Release(); // Its memory is free once the cancelled operations have ended.
}

void
CallerSession::SetGoneHandler(std::function<void()> aHandler)
{
  mGoneHandler = std::move(aHandler);
}

boost::asio::awaitable<bool>
CallerSession::SendWhole(WholeAnswer aAnswer)
{
  if (mGone) {
    co_return false;
  }
  mKeepAlive = mKeepAlive && !mPolicy.mStopping();
  aAnswer.keep_alive(mKeepAlive);
  aAnswer.prepare_payload();
  // The call has returned its connection to the replica; a caller that does not read must not hold
  // up others.
  mMember.Enter(sycamore::http::ConnectionPhase::Writing);
  mRequest.Shrink(kAnswerBytes + mHeadBytes + MemoryOf(aAnswer));
  mStream.expires_after(kWriteTimeout);
  const auto [error, bytes] = co_await http::async_write(mStream, aAnswer, kAsTuple);
  if (error) {
    MarkGone();
  }
  co_return !error;
}

boost::asio::awaitable<bool>
CallerSession::BeginStream(http::response_header<> aHeader)
{
  if (mGone) {
    co_return false;
  }
  mKeepAlive = mKeepAlive && !mPolicy.mStopping();
  http::response<http::empty_body> answer(std::move(aHeader));
  answer.chunked(true);
  answer.keep_alive(mKeepAlive);
  http::response_serializer<http::empty_body> serializer(answer);
  mStreaming = true;
  mStream.expires_after(kWriteTimeout);
  const auto [error, bytes] = co_await http::async_write_header(mStream, serializer, kAsTuple);
  if (error) {
    MarkGone();
  }
  co_return !error;
}

boost::asio::awaitable<bool>
CallerSession::SendPiece(std::string_view aBytes)
{
  if (mGone) {
    co_return false;
  }
  if (aBytes.empty()) {
    co_return true; // An empty chunk would end the answer.
  }
  mStream.expires_after(kWriteTimeout);
  const auto [error, bytes] = co_await boost::asio::async_write(
    mStream, http::make_chunk(boost::asio::buffer(aBytes.data(), aBytes.size())), kAsTuple);
  if (error) {
    MarkGone();
  }
  co_return !error;
}

boost::asio::awaitable<bool>
CallerSession::EndStream()
{
  if (mGone) {
    co_return false;
  }
  mStream.expires_after(kWriteTimeout);
  const auto [error, bytes] =
    co_await boost::asio::async_write(mStream, http::make_chunk_last(), kAsTuple);
  if (error) {
    MarkGone();
    co_return false;
  }
  mStreaming = false;
  co_return true;
}

boost::asio::awaitable<void>
CallerSession::CloseGracefully()
{
  boost::system::error_code error;
  mStream.socket().shutdown(tcp::socket::shutdown_send, error);
  std::array<char, kReadSize> unread;
  mStream.expires_after(kLingerTimeout);
  while (!error) {
    std::tie(error, std::ignore) =
      co_await mStream.async_read_some(boost::asio::buffer(unread), kAsTuple);
  }
}

}

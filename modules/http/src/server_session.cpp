#include "server_session.h"

#include "sycamore/http/error_body.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <fmt/format.h>
#include <sstream>

namespace sycamore::http {

namespace beast = boost::beast;
using boost::system::error_code;

// Idle time after which a kept connection without a request is closed.
static constexpr base::Seconds kIdleLimit{ 120 };

static constexpr int kHttpVersion = 11;

ServerSession::ServerSession(boost::asio::ip::tcp::socket aSocket, const SessionHost& aHost)
  : mHost(aHost)
  , mStream(std::move(aSocket))
  , mMember(*aHost.mConnections, [this] { Close(); })
{
}

void
ServerSession::Start()
{
  error_code ignored;
  mStream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ReadRequest();
}

void
ServerSession::ReadRequest()
{
  mMember.Enter(ConnectionPhase::Idle);
  mParser.emplace();
  mParser->body_limit(mHost.mLimits.mMaxBodyBytes);
  // A kept connection may be idle between requests; one with a partial request may not.
  mStream.expires_after(mBuffer.size() == 0 ? base::Millis(kIdleLimit)
                                            : mHost.mLimits.mReadTimeout);
  beast::http::async_read(
    mStream, mBuffer, *mParser, [self = shared_from_this()](const error_code& aCode, size_t) {
      self->OnRead(aCode);
    });
}

void
ServerSession::OnRead(const error_code& aCode)
{
  if (aCode == beast::http::error::body_limit) {
    Refuse(base::ErrorKind::BodyTooLarge, true);
  } else if (aCode.category() ==
               beast::http::make_error_code(beast::http::error::bad_method).category() &&
             aCode != beast::http::error::end_of_stream &&
             aCode != beast::http::error::partial_message) {
    Refuse(base::ErrorKind::MalformedBody, true);
  } else if (aCode) {
    Close();
  } else {
    Deliver();
  }
}

void
ServerSession::Deliver()
{
  mMember.Enter(ConnectionPhase::Serving);
  const auto& message = mParser->get();
  mKeepAlive = message.keep_alive();
  mAnswered = false;
  mChunked = false;
  mRequest = mHost.mOpenRequest(shared_from_this());
  Request request;
  request.mId = mRequest;
  request.mMethod = message.method_string();
  const std::string target = message.target();
  const size_t question = target.find('?');
  request.mPath = target.substr(0, question);
  request.mQuery = question == std::string::npos ? "" : target.substr(question + 1);
  request.mLastEventId = message["Last-Event-ID"];
  const std::string accept = message[beast::http::field::accept];
  request.mAcceptsStream = accept.find("text/event-stream") != std::string::npos;
  request.mBody = std::move(mParser->get().body());
  mStream.expires_never();
  if (!mHost.mOnRequest(std::move(request))) {
    Refuse(base::ErrorKind::Overloaded, false);
    return;
  }
  WatchForClose();
}

// Answers the open request, or the unreadable one, with aKind.
void
ServerSession::Refuse(base::ErrorKind aKind, bool aClose)
{
  const base::Answer& answer = base::AnswerFor(aKind);
  ResponsePart part;
  part.mRequest = mRequest;
  part.mStatus = answer.mHttpStatus;
  // The request may repeat one that ran, and nothing here knows.
  part.mBody = ErrorBody({ aKind, "the server refused the request before handling it", "" },
                         base::RunState::Uncommitted);
  mKeepAlive = mKeepAlive && !aClose;
  mAnswered = false;
  Send(part);
}

// Waits for the end of the connection while the request is being answered.
void
ServerSession::WatchForClose()
{
  mStream.socket().async_wait(
    boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code& aCode) {
      if (aCode || self->mClosed || self->mRequest == 0) {
        return;
      }
      error_code peekCode;
      char byte = 0;
      self->mStream.socket().non_blocking(true, peekCode);
      const size_t size = self->mStream.socket().receive(
        boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, peekCode);
      const bool wouldBlock = peekCode == boost::asio::error::would_block;
      if (size == 0 && !wouldBlock) {
        self->ReportClosed();
        self->Close();
      }
    });
}

void
ServerSession::Send(const ResponsePart& aPart)
{
  if (mClosed || mAnswered) {
    return;
  }
  if (aPart.mFirst) {
    mChunked = !aPart.mLast;
    QueueHead(aPart);
  }
  if (mChunked && !aPart.mBody.empty()) {
    Queue(fmt::format("{:x}\r\n{}\r\n", aPart.mBody.size(), aPart.mBody));
  }
  if (aPart.mLast) {
    mAnswered = true;
    if (mChunked) {
      Queue("0\r\n\r\n");
    }
  }
  if (mQueuedBytes > mHost.mLimits.mMaxBufferedBytes + aPart.mBody.size()) {
    ReportClosed();
    Close();
  }
}

void
ServerSession::QueueHead(const ResponsePart& aPart)
{
  beast::http::response<beast::http::string_body> head;
  head.version(kHttpVersion);
  head.result(static_cast<unsigned>(aPart.mStatus));
  head.set(beast::http::field::content_type, aPart.mContentType);
  head.keep_alive(mKeepAlive);
  if (aPart.mRetryAfter.count() > 0) {
    head.set(beast::http::field::retry_after,
             std::to_string((aPart.mRetryAfter.count() + 999) / 1000));
  }
  if (mChunked) {
    head.set(beast::http::field::cache_control, "no-store");
    head.chunked(true);
  } else {
    head.body() = aPart.mBody;
    head.prepare_payload();
  }
  std::ostringstream text;
  text << head.base();
  Queue(mChunked ? text.str() : text.str() + aPart.mBody);
}

void
ServerSession::Queue(std::string aBytes)
{
  mQueuedBytes += aBytes.size();
  mOut.push_back(std::move(aBytes));
  if (mOut.size() == 1) {
    Write();
  }
}

void
ServerSession::Write()
{
  boost::asio::async_write(
    mStream.socket(),
    boost::asio::buffer(mOut.front()),
    [self = shared_from_this()](const error_code& aCode, size_t) { self->OnWritten(aCode); });
}

void
ServerSession::OnWritten(const error_code& aCode)
{
  if (mClosed) {
    return;
  }
  if (aCode) {
    ReportClosed();
    Close();
    return;
  }
  mQueuedBytes -= mOut.front().size();
  mOut.pop_front();
  if (!mOut.empty()) {
    Write();
  } else if (mAnswered) {
    FinishRequest();
  }
}

void
ServerSession::FinishRequest()
{
  if (mRequest != 0) {
    mHost.mCloseRequest(mRequest);
    mRequest = 0;
  }
  // Ends WatchForClose, which would otherwise consume the arrival of the next request.
  error_code ignored;
  mStream.socket().cancel(ignored);
  if (mKeepAlive) {
    ReadRequest();
  } else {
    Close();
  }
}

void
ServerSession::ReportClosed()
{
  if (mRequest != 0 && !mAnswered && mHost.mOnClosed) {
    mHost.mOnClosed(mRequest);
  }
}

void
ServerSession::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (mRequest != 0) {
    mHost.mCloseRequest(mRequest);
    mRequest = 0;
  }
  error_code ignored;
  mStream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  mStream.close();
}

void
ServerSession::Abort()
{
  mClosed = true;
  mRequest = 0;
  mStream.close();
}

}

#include "replica_exchange.h"

#include "async.h"
#include "elapsed.h"
#include "head_reader.h"
#include "sycamore/base/log.h"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::Millis;

// Connect timeout, after which another replica is tried; the farthest one answers in 65 ms.
static constexpr Millis kConnectTimeout{ 300 };
static constexpr size_t kPieceSize = 16384;
// Interim answers and answers to other attempts that are skipped before the exchange fails.
static constexpr int kMaxSkippedAnswers = 2;
// The head of an answer is there as it was parsed and as it is passed on.
static constexpr size_t kHeadCopies = 2;
// Limit of a body that is skipped; a longer one costs more than a new connection.
static constexpr size_t kMaxSkippedBytes = 65536;
// Limit of an answer that is passed on whole and held in memory until then. As long as the longest
// request that the platform's limits allow.
static constexpr size_t kMaxWholeAnswerBytes = size_t{ 4 } << 20;

std::string_view
StatusName(ExchangeStatus aStatus)
{
  switch (aStatus) {
    case ExchangeStatus::Whole:
      return "answered";
    case ExchangeStatus::Streamed:
      return "streamed";
    case ExchangeStatus::NotRun:
      return "not_run";
    case ExchangeStatus::Failed:
      return "failed";
    case ExchangeStatus::Expired:
      return "expired";
    case ExchangeStatus::CallerGone:
      return "caller_gone";
  }
  return "";
}

namespace {

using AnswerParser = http::response_parser<http::buffer_body>;

// One call on one connection.
class Exchange
{
public:
  Exchange(Context& aContext,
           CallerLink& aLink,
           ReplicaStatePtr aState,
           CallerRequest aRequest,
           const std::string& aAttempt,
           base::TimePoint aDeadline,
           StreamSink* aSink)
    : mContext(aContext)
    , mLink(aLink)
    , mState(std::move(aState))
    , mRequest(std::move(aRequest))
    , mAttempt(aAttempt)
    , mDeadline(aDeadline)
    , mSink(aSink)
    , mHeadMemory(aContext.mRequests)
  {
    ++mState->mInFlight;
    ++mState->mSentSinceReport;
  }

  ~Exchange()
  {
    --mState->mInFlight;
    mLink.SetGoneHandler(nullptr);
  }

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  boost::asio::awaitable<ExchangeResult> Run();

  // The load that came with the last answer, if any.
  std::optional<ReportedLoad> Load() const { return mHead.mLoad; }

private:
  boost::asio::awaitable<bool> Connect();
  boost::asio::awaitable<bool> ReadHeader();
  bool IsOwnAnswer(int aSkippedAnswers) const;
  boost::asio::awaitable<bool> SkipBody();
  boost::asio::awaitable<ExchangeResult> ReadAnswer();
  boost::asio::awaitable<ExchangeResult> ReadWhole();
  boost::asio::awaitable<ExchangeResult> ReadStream();
  // Reads a piece of the body; empty at its end or, with mError set, on failure.
  boost::asio::awaitable<std::string_view> ReadPiece();
  ExchangeResult Interrupted(boost::system::error_code aError, std::string_view aStage) const;
  BreakStage StageOfBreak(boost::system::error_code aError) const;
  ExchangeResult Failed(std::string aDetail) const;
  // Not the replica's failure. The call may have run.
  static ExchangeResult ShortOfMemory();
  void NoteLoad();
  void NoteLeaving();
  void NoteRequestLimit();
  void ReleaseConnection();
  http::response_header<> ForwardedHeader() const;

  Context& mContext;
  CallerLink& mLink;
  ReplicaStatePtr mState;
  CallerRequest mRequest;
  const std::string& mAttempt;
  base::TimePoint mDeadline;
  base::TimePoint mSentAt;
  StreamSink* mSink;
  ReplicaConnectionPtr mConnection;
  std::unique_ptr<AnswerParser> mParser;
  MemoryAccount::Hold mHeadMemory;
  AnswerHead mHead;
  std::array<char, kPieceSize> mPiece{};
  size_t mBodyBytes = 0; // Read so far.
  boost::system::error_code mError;
};

}

ExchangeResult
Exchange::Interrupted(boost::system::error_code aError, std::string_view aStage) const
{
  ExchangeResult result;
  result.mSent = true;
  result.mDetail = fmt::format("{}: {}", aStage, aError.message());
  if (mLink.Gone()) {
    result.mStatus = ExchangeStatus::CallerGone;
  } else if (base::Clock::now() >= mDeadline) {
    result.mStatus = ExchangeStatus::Expired;
  } else {
    NoteFailure(*mState, base::Clock::now());
    result.mBreak = StageOfBreak(aError);
  }
  return result;
}

BreakStage
Exchange::StageOfBreak(boost::system::error_code aError) const
{
  namespace asio_error = boost::asio::error;
  // The kernel reports a peer that is silent as timed out; the timeout of the stream is another.
  const bool byReplica = aError == asio_error::eof || aError == asio_error::connection_reset ||
                         aError == asio_error::connection_aborted ||
                         aError == asio_error::broken_pipe || aError == asio_error::timed_out ||
                         aError == http::error::end_of_stream ||
                         aError == http::error::partial_message;
  if (!byReplica) {
    return BreakStage::NotBroken;
  }
  if (!mParser || !mParser->is_header_done()) {
    return BreakStage::NoHeader;
  }
  const bool begun = mSink != nullptr ? mSink->Progress().mHasEvents : mBodyBytes > 0;
  return begun ? BreakStage::InBody : BreakStage::NoBody;
}

ExchangeResult
Exchange::Failed(std::string aDetail) const
{
  NoteFailure(*mState, base::Clock::now());
  ExchangeResult result;
  result.mSent = true;
  result.mDetail = std::move(aDetail);
  return result;
}

ExchangeResult
Exchange::ShortOfMemory()
{
  return { ExchangeStatus::Failed, true, {}, "too many large answers are in progress" };
}

boost::asio::awaitable<bool>
Exchange::Connect()
{
  const auto left = Until(mDeadline);
  auto acquired = co_await mContext.mPool.Acquire(mState, std::min(left, kConnectTimeout));
  if (!base::IsOk(acquired)) {
    NoteFailure(*mState, base::Clock::now());
    co_return false;
  }
  mConnection = base::TakeValue(std::move(acquired));
  co_return true;
}

boost::asio::awaitable<ExchangeResult>
Exchange::Run()
{
  if (!co_await Connect()) {
    co_return ExchangeResult{ ExchangeStatus::NotRun, false, {}, "cannot connect to the replica" };
  }
  if (mLink.Gone()) {
    co_return ExchangeResult{
      ExchangeStatus::CallerGone, false, {}, "the caller disconnected before the send"
    };
  }
  mLink.SetGoneHandler([this] { mConnection->mStream.cancel(); });
  mConnection->mStream.expires_at(mDeadline);
  mSentAt = base::Clock::now();
  const auto [error, bytes] = co_await http::async_write(mConnection->mStream, mRequest, kAsTuple);
  if (error) {
    co_return Interrupted(error, "send");
  }
  for (int skippedAnswers = 0; skippedAnswers <= kMaxSkippedAnswers; ++skippedAnswers) {
    if (!co_await ReadHeader()) {
      if (mError == boost::system::errc::not_enough_memory) {
        co_return ShortOfMemory();
      }
      co_return Interrupted(mError, "header");
    }
    if (mHead.mAmbiguous) {
      co_return Failed("the header of the answer is joined with that of another one");
    }
    const bool isInterim =
      http::to_status_class(mParser->get().result()) == http::status_class::informational;
    if (!isInterim && IsOwnAnswer(skippedAnswers)) {
      NoteRequestLimit();
      co_return co_await ReadAnswer();
    }
    if (!isInterim && mHead.mAttempt.empty()) {
      // It may be a late copy of an earlier answer, or the answer to this call: even if it says
      // that the call has not run, that is not certain.
      co_return Failed("an answer without attempt id on a connection that was used before");
    }
    if (!co_await SkipBody()) {
      co_return Interrupted(mError, "answer to another attempt");
    }
  }
  co_return Failed("only interim answers or answers to other attempts arrived");
}

// An answer without attempt id belongs to this call only if there was no other on the connection.
bool
Exchange::IsOwnAnswer(int aSkippedAnswers) const
{
  if (!mHead.mAttempt.empty()) {
    return mHead.mAttempt == mAttempt;
  }
  return !mConnection->mUsedBefore && aSkippedAnswers == 0;
}

// Whether aNumber can be a status: RFC 9110, section 15, knows no others. The parser takes any
// three digits.
static bool
IsStatus(unsigned aNumber)
{
  return aNumber >= 100 && aNumber <= 599;
}

boost::asio::awaitable<bool>
Exchange::ReadHeader()
{
  mParser = std::make_unique<AnswerParser>();
  mBodyBytes = 0;
  mParser->body_limit(boost::none);
  mParser->skip(mRequest.method() == http::verb::head);
  mError =
    co_await ReadHead(mConnection->mStream, mConnection->mBuffer, *mParser, [this](size_t aBytes) {
      return mHeadMemory.Grow(aBytes);
    });
  if (!mError && !mHeadMemory.Grow(kHeadCopies * MemoryOf(mParser->get()))) {
    mError = make_error_code(boost::system::errc::not_enough_memory);
  }
  if (!mError && !IsStatus(mParser->get().result_int())) {
    // Nothing that comes with it is believed, a claim that the call has not run included.
    mError = http::error::bad_status;
  }
  if (mError || mLink.Gone()) {
    co_return false;
  }
  mHead = mContext.mHeaderCodec.DecodeAnswer(mParser->get());
  NoteLoad();
  NoteLeaving();
  co_return true;
}

void
Exchange::NoteLeaving()
{
  // The answer to a call that expected another replica comes from a new owner of the address.
  const bool sameReplica = mParser->get().result() != http::status::misdirected_request;
  if (mHead.mLeaving && sameReplica &&
      mContext.mReplicas.NoteLeaving(mState->mReplica, base::Clock::now())) {
    base::Log(base::LogEvent::InstanceLeaving,
              "replica={} attempt={} said so in its answer",
              mState->mReplica.mId,
              mAttempt);
  }
}

void
Exchange::NoteRequestLimit()
{
  // The answer to a call that expected another replica comes from a new owner of the address.
  if (mParser->get().result() == http::status::misdirected_request) {
    return;
  }
  if (mHead.mRequestLimitInvalid) {
    base::Log(base::LogEvent::ReplicaLimited,
              "replica={} attempt={} names a limit that is not a number",
              mState->mReplica.mId,
              mAttempt);
    return;
  }
  mContext.mLimits.NoteAnswer(mState->mReplica, mHead.mRequestLimit, mSentAt);
}

void
Exchange::NoteLoad()
{
  if (mHead.mLoad) {
    mState->mLoad = mHead.mLoad;
    mState->mLoadAt = base::Clock::now();
    mState->mSentSinceReport = 0;
  }
}

boost::asio::awaitable<std::string_view>
Exchange::ReadPiece()
{
  while (!mParser->is_done()) {
    // The timeout of the stream does not expire while there are always bytes to read.
    if (base::Clock::now() >= mDeadline) {
      mError = boost::beast::error::timeout;
      co_return std::string_view();
    }
    mParser->get().body().data = mPiece.data();
    mParser->get().body().size = mPiece.size();
    std::tie(mError, std::ignore) = co_await http::async_read_some(
      mConnection->mStream, mConnection->mBuffer, *mParser, kAsTuple);
    if (mError == http::error::need_buffer) {
      mError = {};
    }
    const size_t size = mPiece.size() - mParser->get().body().size;
    mBodyBytes += size;
    if (mError || size > 0) {
      co_return std::string_view(mPiece.data(), mError ? 0 : size);
    }
    if (mLink.Gone()) {
      mError = boost::asio::error::operation_aborted;
      co_return std::string_view();
    }
  }
  co_return std::string_view();
}

boost::asio::awaitable<bool>
Exchange::SkipBody()
{
  size_t skipped = 0;
  std::string_view piece;
  do {
    piece = co_await ReadPiece();
    skipped += piece.size();
  } while (!piece.empty() && skipped <= kMaxSkippedBytes);
  if (skipped > kMaxSkippedBytes) {
    mError = http::error::body_limit;
  }
  co_return !mError;
}

boost::asio::awaitable<ExchangeResult>
Exchange::ReadAnswer()
{
  const int status = mParser->get().result_int();
  if (mHead.mNotRun) {
    co_await SkipBody();
    ReleaseConnection();
    co_return ExchangeResult{
      ExchangeStatus::NotRun, true, {}, fmt::format("replica answered {}", status)
    };
  }
  const bool success = status >= 200 && status < 300;
  if (success && (!mHead.mSigned || mHead.mAttempt.empty())) {
    co_return Failed("2xx answer without signature or attempt id");
  }
  if (mHead.mEncoded) {
    co_return Failed("the answer has a content encoding");
  }
  if (success && mSink != nullptr) {
    co_return co_await ReadStream();
  }
  co_return co_await ReadWhole();
}

http::response_header<>
Exchange::ForwardedHeader() const
{
  http::response_header<> header = mParser->get().base();
  header.erase(http::field::connection);
  header.erase(http::field::keep_alive);
  header.erase(http::field::transfer_encoding);
  header.erase(http::field::content_length);
  header.erase(http::field::trailer);
  header.erase(http::field::upgrade);
  header.erase(http::field::proxy_connection);
  header.version(11);
  return header;
}

boost::asio::awaitable<ExchangeResult>
Exchange::ReadWhole()
{
  ExchangeResult result;
  result.mAnswer.base() = ForwardedHeader();
  result.mBody = std::make_shared<MemoryAccount::Hold>(mContext.mBodies);
  // A length that is told counts at once: of many answers that grow together none would fit.
  size_t bytes = std::min<uint64_t>(mParser->content_length().value_or(0), kMaxWholeAnswerBytes);
  std::string_view piece;
  do {
    if (!result.mBody->Grow(bytes)) {
      co_return ShortOfMemory();
    }
    piece = co_await ReadPiece();
    result.mAnswer.body() += piece;
    bytes = std::max(bytes, result.mAnswer.body().size());
  } while (!piece.empty() && result.mAnswer.body().size() <= kMaxWholeAnswerBytes);
  if (result.mAnswer.body().size() > kMaxWholeAnswerBytes) {
    co_return Failed("the answer is too long");
  }
  if (mError) {
    co_return Interrupted(mError, "body");
  }
  NoteSuccess(*mState);
  ReleaseConnection();
  result.mStatus = ExchangeStatus::Whole;
  result.mSent = true;
  co_return result;
}

boost::asio::awaitable<ExchangeResult>
Exchange::ReadStream()
{
  const ExchangeResult cancelled{ ExchangeStatus::CallerGone, true, {}, "cancelled" };
  http::response_header<> header = ForwardedHeader();
  const bool begun = co_await mSink->OnHeader(std::move(header), mHead);
  if (!begun) {
    co_return cancelled;
  }
  std::string_view piece;
  do {
    piece = co_await ReadPiece();
    const SinkResult accepted = co_await mSink->OnBytes(piece);
    if (accepted == SinkResult::Unusable) {
      co_return Failed("the stream cannot be used");
    }
    if (accepted == SinkResult::Cancel) {
      co_return cancelled;
    }
  } while (!piece.empty());
  if (mError) {
    co_return Interrupted(mError, "body");
  }
  if (!mSink->EndsWhole()) {
    co_return Failed("the stream ended inside an event");
  }
  NoteSuccess(*mState);
  ReleaseConnection();
  co_return ExchangeResult{ ExchangeStatus::Streamed, true, {}, "" };
}

void
Exchange::ReleaseConnection()
{
  mLink.SetGoneHandler(nullptr);
  if (!mError && mParser->is_done() && mParser->keep_alive()) {
    ReplicaPool::Release(*mState, std::move(mConnection), mHead.mIdleTimeout);
  }
}

boost::asio::awaitable<ExchangeResult>
RunExchange(Context& aContext,
            CallerLink& aLink,
            ReplicaStatePtr aState,
            CallerRequest aRequest,
            const std::string& aAttempt,
            base::TimePoint aDeadline,
            StreamSink* aSink)
{
  Exchange exchange(
    aContext, aLink, std::move(aState), std::move(aRequest), aAttempt, aDeadline, aSink);
  auto result = co_await exchange.Run();
  result.mLoad = exchange.Load();
  co_return result;
}

}

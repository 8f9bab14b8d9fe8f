#include "turn_runner.h"

#include "elapsed.h"
#include "refusal.h"
#include "sycamore/base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::ErrorKind;
using base::Millis;

// Time that a call waits for the log before it is refused; leaves the caller time to try another
// process.
static constexpr Millis kLogTimeout{ 900 };
// Time that a call waits for its budget. Longer than kLogTimeout: a budget that other turns hold
// may be settled within that time.
static constexpr Millis kReservationTimeout{ 1600 };
// Retry-After time while the store is down for all instances: outages last for seconds, and a
// caller has few attempts. While only this process is cut off, another one can serve the call at
// once.
static constexpr Millis kRetryAfterOutage{ 1500 };
// Retry-After time while the history is loaded, which takes a second or two after a restart of all
// gateways.
static constexpr Millis kRetryAfterLoading{ 600 };
// A call is sent before its reservation is granted if the budget has headroom for this many such
// turns: sub-agents of the same program may be reserving at other gateways at the same time.
static constexpr uint64_t kHeadroomTurns = 3;
// Input and output of a turn are one record of the store, which takes 256 KB; leaves room for its
// ids.
static constexpr size_t kMaxTurnBytes = size_t{ 255 } << 10;
// Timeout of an append in the background, such as the release of a reservation. After it the
// reservation stays until the program expires, or readers have to search for the texts.
static constexpr base::Seconds kBackgroundTimeout{ 20 };

TurnRunner::TurnRunner(Context& aContext, CallerLink& aLink, Call& aCall)
  : mContext(aContext)
  , mLink(aLink)
  , mCall(aCall)
  , mPromptBody(aContext.mBodies)
  , mOutputBody(aContext.mBodies)
  , mOutput(aContext.mHeaderCodec,
            aCall.mRoute->mKeepsHistory ? TurnOutput::Keep::History : TurnOutput::Keep::Nothing)
{
}

boost::asio::awaitable<CallOutcome>
TurnRunner::Run()
{
  if (auto error = CheckResume()) {
    co_return co_await Refuse(std::move(*error));
  }
  if (KeepsHistory()) {
    if (IsTooLong()) {
      base::Error error{ ErrorKind::BodyTooLarge,
                         "the input of the turn does not fit into a record",
                         "" };
      co_return co_await Refuse(std::move(error));
    }
    if (auto error = co_await FindChain()) {
      co_return co_await Refuse(std::move(*error));
    }
  }
  // The reservation is appended while the texts are read: in a remote region each takes 70 ms.
  if (HasBudget()) {
    if (auto error = StartReservation()) {
      co_return co_await Refuse(std::move(*error));
    }
  }
  if (auto error = co_await MakePrompt()) {
    SettleBudget();
    co_return co_await Refuse(std::move(*error));
  }
  mCall.mTrace.mHistory = Since(mCall.mArrived);
  if (HasBudget()) {
    if (auto error = co_await CheckBudget()) {
      co_return co_await Refuse(std::move(*error));
    }
  }
  DispatchHint hint;
  hint.mPrefixReplica = mPrefixReplica;
  hint.mPromptTokens = mCall.mHead.mPromptTokens;
  auto result = co_await Dispatch(mContext, mLink, mCall, std::move(mPrompt), hint, this);
  CallOutcome outcome = co_await Finish(std::move(result));
  SettleBudget();
  co_return outcome;
}

std::optional<base::Error>
TurnRunner::CheckResume() const
{
  if (!mCall.mHead.mResumes) {
    return std::nullopt;
  }
  if (!mCall.mRoute->mResumable) {
    return base::Error{ ErrorKind::MalformedBody, "streams of this route cannot be resumed", "" };
  }
  if (!mCall.mHead.mLastEvent) {
    return base::Error{ ErrorKind::MalformedBody, "the id of the last event is not a number", "" };
  }
  if (KeepsHistory()) {
    // The events before that id are in no record, so that a later turn could not continue this one.
    return base::Error{ ErrorKind::LogUnavailable,
                        "the first events of the turn are not kept: it must start again",
                        "" };
  }
  return std::nullopt;
}

std::optional<base::Error>
TurnRunner::CheckLog() const
{
  // A turn before this one may be in another partition; CatchUpWith reads all of them then.
  if (!mContext.mPrograms.For(mCall.mHead.mProgram).Loaded()) {
    return base::Error{ ErrorKind::LogUnavailable, "the history is being loaded", "" };
  }
  if (!mContext.mStore.Reachable()) {
    return base::Error{ ErrorKind::LogUnavailable, "the store cannot be reached", "" };
  }
  return std::nullopt;
}

boost::asio::awaitable<std::optional<base::Error>>
TurnRunner::FindChain()
{
  if (auto error = CheckLog()) {
    co_return error;
  }
  if (!mCall.mHead.mPreviousTurn) {
    co_return std::nullopt;
  }
  const std::string& previous = *mCall.mHead.mPreviousTurn;
  const auto limit = std::min(mCall.mDeadline, base::Clock::now() + kLogTimeout);
  auto chain = mContext.mPrograms.Programs().Chain(previous);
  if (!chain) {
    const auto caughtUp =
      co_await mContext.mPrograms.CatchUpWith(mCall.mHead.mProgram, previous, limit);
    chain = mContext.mPrograms.Programs().Chain(previous);
    if (!chain && !base::IsOk(caughtUp)) {
      co_return base::ErrorOf(caughtUp);
    }
  }
  if (!chain) {
    const std::string unknown = mContext.mPrograms.Programs().UnknownTurn(previous);
    co_return base::Error{ ErrorKind::UnknownTurn,
                           unknown == previous
                             ? "there is no such turn: " + previous
                             : fmt::format(
                                 "turn {}, which {} continues, is not kept", unknown, previous),
                           "" };
  }
  const programs::Turn* turn = mContext.mPrograms.Programs().FindTurn(previous);
  if (!MayContinue(*turn)) {
    // As if it did not exist: a caller learns nothing of another account's turns.
    co_return base::Error{ ErrorKind::UnknownTurn, "there is no such turn: " + previous, "" };
  }
  mPrefixReplica = turn->mReplica;
  mChain = std::move(*chain);
  mHistory = ReferencesTo(mChain);
  co_return std::nullopt;
}

bool
TurnRunner::MayContinue(const programs::Turn& aTurn) const
{
  const bool unknown =
    aTurn.mAccount == accounts::kUnknownAccount || mCall.mAccountId == accounts::kUnknownAccount;
  return unknown || aTurn.mAccount == mCall.mAccountId;
}

boost::asio::awaitable<std::optional<base::Error>>
TurnRunner::MakePrompt()
{
  if (!KeepsHistory()) {
    mPrompt = std::move(mCall.mRequest.body());
    co_return std::nullopt;
  }
  const auto limit = std::min(mCall.mDeadline, base::Clock::now() + kLogTimeout);
  auto texts = co_await mContext.mTexts.Load(std::move(mHistory), limit);
  if (!base::IsOk(texts)) {
    co_return base::ErrorOf(texts);
  }
  // Until the turn is acknowledged, which may take all of its time.
  const Millis needed = mCall.mRoute->mRetention + Until(mCall.mDeadline);
  mContext.mRenewals.Start(base::ValueOf(texts), needed, base::Clock::now() + kBackgroundTimeout);
  size_t bytes = 0;
  for (const TurnTextPtr& text : base::ValueOf(texts)) {
    bytes += text->Bytes();
  }
  if (!mPromptBody.Grow(bytes)) {
    co_return base::Error{ ErrorKind::Overloaded, "too many large bodies are in progress", "" };
  }
  for (const TurnTextPtr& text : base::ValueOf(texts)) {
    mPrompt += text->mInput;
    mPrompt += text->mOutput;
  }
  mPrompt += mCall.mRequest.body();
  co_return std::nullopt;
}

std::vector<TextReference>
TurnRunner::ReferencesTo(const std::vector<std::string>& aChain) const
{
  std::vector<TextReference> references;
  references.reserve(aChain.size());
  for (const std::string& attempt : aChain) {
    references.push_back({ attempt, mContext.mPrograms.Programs().FindTurn(attempt)->mText });
  }
  return references;
}

boost::asio::awaitable<std::optional<base::Error>>
TurnRunner::CheckBudget()
{
  const bool maySendBeforeReservation =
    mHasHeadroom && !mReservation->mDone && !mContext.mPrograms.Failing();
  if (maySendBeforeReservation) {
    co_return std::nullopt;
  }
  if (co_await ReservationGranted()) {
    co_return std::nullopt;
  }
  if (mReservation->mError) {
    co_return std::move(mReservation->mError);
  }
  co_return base::Error{ ErrorKind::BudgetExceeded, "the program's budget is spent", "" };
}

std::optional<base::Error>
TurnRunner::StartReservation()
{
  const CallHead& head = mCall.mHead;
  const BudgetRequest request{ head.mProgram, *head.mBudgetTokens, head.mMaxOutputTokens };
  if (head.mProgram.empty()) {
    return base::Error{ ErrorKind::MalformedBody, "a budget needs the id of its program", "" };
  }
  if (!mContext.mBudgets.HasBlock(request)) {
    if (auto error = CheckLog()) {
      return error;
    }
  }
  mHasHeadroom = mContext.mPrograms.Programs().FitsBudget(
    head.mProgram, *head.mBudgetTokens, head.mMaxOutputTokens * kHeadroomTurns);
  mReservation = std::make_shared<ReservationState>(mContext.mExecutor);
  const auto limit = std::min(mCall.mDeadline, base::Clock::now() + kReservationTimeout);
  boost::asio::co_spawn(
    mContext.mExecutor, Reserve(mContext, request, limit, mReservation), LogFailure{});
  return std::nullopt;
}

boost::asio::awaitable<void>
TurnRunner::Reserve(Context& aContext,
                    BudgetRequest aRequest,
                    base::TimePoint aDeadline,
                    std::shared_ptr<ReservationState> aState)
{
  const base::TimePoint begin = base::Clock::now();
  auto outcome = co_await aContext.mBudgets.Acquire(std::move(aRequest), aDeadline);
  if (auto* error = std::get_if<base::Error>(&outcome)) {
    aState->mError = std::move(*error);
  } else {
    aState->mTook = Since(begin);
    aContext.mMetrics.NoteReservation(*aState->mTook);
  }
  if (auto* draw = std::get_if<ProgramBudgets::Draw>(&outcome)) {
    aState->mDraw = std::move(*draw);
    if (aState->mAbandoned) {
      aState->mDraw->Settle(0); // No event is sent before the reservation is granted.
    }
  }
  aState->mDone = true;
  aState->mChanged.NotifyAll();
}

boost::asio::awaitable<bool>
TurnRunner::ReservationGranted()
{
  if (!mReservation) {
    co_return true;
  }
  while (!mReservation->mDone) {
    co_await mReservation->mChanged.WaitUntil(base::TimePoint::max());
  }
  mCall.mTrace.mReservation = mReservation->mTook;
  co_return mReservation->mDraw.has_value();
}

void
TurnRunner::SettleBudget()
{
  if (!mReservation) {
    return;
  }
  if (mReservation->mDraw) {
    mReservation->mDraw->Settle(TokensSent());
  }
  mReservation->mAbandoned = true;
}

boost::asio::awaitable<bool>
TurnRunner::OnHeader(http::response_header<> aHeader, const AnswerHead& aHead)
{
  mOutput.BeginPart(aHead.mWeightVersion);
  if (!mHeaderSent) {
    // The caller sees the header and signature of the first replica whose events it receives.
    mHeader = std::move(aHeader);
  }
  co_return !mLink.Gone();
}

boost::asio::awaitable<SinkResult>
TurnRunner::OnBytes(std::string_view aBytes)
{
  const std::string events = mOutput.Add(aBytes);
  if (mOutput.Bytes() > kMaxTurnBytes || !mOutput.InSequence()) {
    co_return SinkResult::Unusable;
  }
  if ((KeepsHistory() && IsTooLong()) || !mOutputBody.Grow(mOutput.Bytes())) {
    co_return SinkResult::Cancel;
  }
  if (events.empty()) {
    co_return SinkResult::Continue;
  }
  if (!co_await ReservationGranted()) {
    co_return SinkResult::Cancel;
  }
  const bool begun = co_await SendHeader();
  const bool sent = begun && co_await mLink.SendPiece(events);
  co_return sent ? SinkResult::Continue : SinkResult::Cancel;
}

StreamProgress
TurnRunner::Progress() const
{
  return { mOutput.EventCount() > 0, mOutput.Resume() };
}

bool
TurnRunner::IsTooLong() const
{
  return mCall.mRequest.body().size() + mOutput.Bytes() > kMaxTurnBytes;
}

boost::asio::awaitable<bool>
TurnRunner::SendHeader()
{
  if (std::exchange(mHeaderSent, true)) {
    co_return true;
  }
  mCall.mTrace.mFirstEvent = Since(mCall.mArrived);
  mContext.mMetrics.NoteFirstEvent(*mCall.mTrace.mFirstEvent);
  co_return co_await mLink.BeginStream(std::move(mHeader));
}

uint64_t
TurnRunner::TokensSent() const
{
  const uint64_t perEvent = mCall.Engine() != nullptr ? mCall.Engine()->mTokensPerEvent : 1;
  return mHeaderSent ? mOutput.EventCount() * perEvent : 0;
}

boost::asio::awaitable<CallOutcome>
TurnRunner::Finish(DispatchResult aResult)
{
  switch (aResult.mExchange.mStatus) {
    case ExchangeStatus::Streamed:
      co_return co_await Complete(aResult.mReplica);
    case ExchangeStatus::Whole: {
      if (mHeaderSent) {
        // Another replica answered the rest of a stream with an error.
        co_return CallOutcome{ CallEnd::BrokenOff, "broken off: the rest was refused", {} };
      }
      const auto status = aResult.mExchange.mAnswer.result_int();
      co_await mLink.SendWhole(std::move(aResult.mExchange.mAnswer));
      co_return CallOutcome{ CallEnd::Answered,
                             fmt::format("replica {} answered {}", aResult.mReplica, status),
                             {} };
    }
    default:
      break;
  }
  if (KeepsHistory() && IsTooLong()) {
    aResult.mExchange.mDetail = "input and output of the turn do not fit into a record";
  }
  if (mLink.Gone()) {
    co_return CallOutcome{ CallEnd::CallerGone, "caller gone", {} };
  }
  if (mHeaderSent) {
    co_return CallOutcome{ CallEnd::BrokenOff, "broken off: " + aResult.mExchange.mDetail, {} };
  }
  const base::Error error = ErrorFor(aResult);
  co_return co_await SendRefusal(mLink, mCall, error);
}

boost::asio::awaitable<CallOutcome>
TurnRunner::Complete(const std::string& aReplica)
{
  const bool granted = co_await ReservationGranted();
  if (!granted && !mHeaderSent) {
    const base::Error error{ ErrorKind::OutcomeUnknown, "the budget could not be reserved", "" };
    co_return co_await SendRefusal(mLink, mCall, error);
  }
  bool open = granted && !mLink.Gone();
  if (open) {
    open = co_await SendHeader();
  }
  if (!open) {
    co_return CallOutcome{ CallEnd::CallerGone, "caller gone", {} };
  }
  if (KeepsHistory() && !co_await Commit(aReplica)) {
    co_return CallOutcome{ CallEnd::BrokenOff, "not recorded in time; broken off", {} };
  }
  const bool ended = co_await mLink.EndStream();
  co_return ended ? CallOutcome{ CallEnd::Answered, "complete", {} }
                  : CallOutcome{ CallEnd::CallerGone, "caller gone after the last event", {} };
}

boost::asio::awaitable<void>
TurnRunner::StoreText(programs::TurnText aText, std::optional<uint64_t>& aOutOffset)
{
  const auto appended = co_await mContext.mTexts.Append(std::move(aText), mCall.mDeadline);
  if (base::IsOk(appended)) {
    aOutOffset = base::ValueOf(appended);
  }
}

boost::asio::awaitable<bool>
TurnRunner::Commit(const std::string& aReplica)
{
  const base::TimePoint begin = base::Clock::now();
  const CallHead& head = mCall.mHead;
  programs::TurnText text{ mCall.mTurnName, std::move(mCall.mRequest.body()), mOutput.History() };
  programs::TurnCompleted turn{ mCall.mTurnName,
                                head.mProgram,
                                head.mPreviousTurn.value_or(""),
                                0, // The block of the program accounts for the tokens.
                                aReplica,
                                mCall.mRoute->mRetention,
                                mContext.mTexts.Next(),
                                static_cast<uint32_t>(text.Bytes()),
                                mContext.mTexts.Partition(),
                                mContext.mWriterHash,
                                0,
                                mCall.mAccountId };
  ProgramLog& log = mContext.mPrograms.For(head.mProgram);
  // Both records are appended concurrently: in a remote region each takes 70 ms.
  std::optional<uint64_t> textOffset;
  TaskGroup textAppend(mContext.mExecutor);
  textAppend.Spawn(StoreText(std::move(text), textOffset));
  const auto appended = co_await log.Append(std::move(turn), mCall.mDeadline);
  co_await textAppend.Wait();
  if (!base::IsOk(appended) || !textOffset) {
    co_return false;
  }
  const bool chainKept =
    co_await mContext.mRenewals.EnsureKept(mChain, mCall.mRoute->mRetention, mCall.mDeadline);
  if (!chainKept) {
    co_return false; // The store could drop an earlier turn while this one can be continued.
  }
  mCall.mTrace.mCommit = Since(begin);
  mContext.mMetrics.NoteCommit(*mCall.mTrace.mCommit);
  const programs::TextPlaced placed{ mCall.mTurnName, *textOffset };
  log.AppendDeferred(placed, base::Clock::now() + kBackgroundTimeout);
  co_return true;
}

Millis
TurnRunner::RetryAfter() const
{
  if (!mContext.mPrograms.Loaded()) {
    return kRetryAfterLoading;
  }
  return mContext.mStore.DownForAll() ? kRetryAfterOutage : kRetryAfter;
}

boost::asio::awaitable<CallOutcome>
TurnRunner::Refuse(base::Error aError)
{
  co_return co_await SendRefusal(mLink, mCall, aError, RetryAfter());
}

}

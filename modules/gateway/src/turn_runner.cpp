#include "turn_runner.h"

#include "refusal.h"
#include "sycamore/base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::ErrorKind;
using base::Millis;
using programs::Reservation;

// How long a call waits for the log before it is refused: the caller can still try another process.
static constexpr Millis kLogPatience{ 900 };
// When to come back while the store is away for all: outages last for seconds, and a caller has few
// tries. While only this process is cut off, another one can serve the call at once.
static constexpr Millis kRetryAfterOutage{ 1500 };
// When to come back while the history is loaded, which takes a second or two after a restart of
// all.
static constexpr Millis kRetryAfterLoading{ 600 };
// A call is sent before its reservation is granted if the budget holds this many turns like it:
// sub-agents of the same program may be reserving at other gateways at the same time.
static constexpr uint64_t kTurnsOfRoom = 3;
// How long the release of a reservation is tried; a program's caller comes back within seconds.
static constexpr base::Seconds kReleaseLimit{ 20 };

TurnRunner::TurnRunner(Context& aContext, CallerLink& aLink, Call& aCall)
  : mContext(aContext)
  , mLink(aLink)
  , mCall(aCall)
{
}

boost::asio::awaitable<std::string>
TurnRunner::Run()
{
  if (auto error = co_await MakePrompt()) {
    co_return co_await Refuse(std::move(*error));
  }
  if (HasBudget()) {
    if (auto error = co_await CheckBudget()) {
      co_return co_await Refuse(std::move(*error));
    }
  }
  DispatchHint hint;
  hint.mPrefixReplica = mPrefixReplica;
  hint.mPromptTokens = mCall.mHead.mPromptTokens;
  auto result = co_await Dispatch(mContext, mLink, mCall, std::move(mPrompt), hint, this);
  co_return co_await Finish(std::move(result));
}

boost::asio::awaitable<std::optional<base::Error>>
TurnRunner::MakePrompt()
{
  if (!mContext.mPrograms.Loaded()) {
    co_return base::Error{ ErrorKind::LogUnavailable, "the history is being loaded", "" };
  }
  if (!mContext.mStore.Reachable()) {
    co_return base::Error{ ErrorKind::LogUnavailable, "the store cannot be reached", "" };
  }
  if (!mCall.mHead.mPreviousTurn) {
    mPrompt = mCall.mRequest.body();
    co_return std::nullopt;
  }
  const std::string& previous = *mCall.mHead.mPreviousTurn;
  auto prompt = mContext.mPrograms.Book().Prompt(previous, mCall.mRequest.body());
  if (!prompt) {
    const auto limit = std::min(mCall.mDeadline, base::Clock::now() + kLogPatience);
    const auto caughtUp = co_await mContext.mPrograms.CatchUp(limit);
    prompt = mContext.mPrograms.Book().Prompt(previous, mCall.mRequest.body());
    if (!prompt && !base::IsOk(caughtUp)) {
      co_return base::ErrorOf(caughtUp);
    }
  }
  if (!prompt) {
    co_return base::Error{ ErrorKind::UnknownTurn, "there is no such turn: " + previous, "" };
  }
  mPrompt = std::move(*prompt);
  mPrefixReplica = mContext.mPrograms.Book().FindTurn(previous)->mReplica;
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<base::Error>>
TurnRunner::CheckBudget()
{
  const CallHead& head = mCall.mHead;
  StartReservation();
  const bool hasRoom = mContext.mPrograms.Book().HasRoom(
    head.mProgram, *head.mBudgetTokens, head.mMaxOutputTokens * kTurnsOfRoom);
  const bool optimistic = hasRoom && !mContext.mPrograms.Failing();
  if (optimistic) {
    co_return std::nullopt;
  }
  if (co_await ReservationGranted()) {
    co_return std::nullopt;
  }
  if (mReservation->mError) {
    ReleaseReservation(0);
    co_return std::move(mReservation->mError);
  }
  co_return base::Error{ ErrorKind::BudgetExceeded, "the program's budget is spent", "" };
}

void
TurnRunner::StartReservation()
{
  const CallHead& head = mCall.mHead;
  mReservation = std::make_shared<ReservationState>(mContext.mExecutor);
  const auto limit = std::min(mCall.mDeadline, base::Clock::now() + kLogPatience);
  boost::asio::co_spawn(
    mContext.mExecutor,
    Reserve(mContext,
            { head.mAttempt, head.mProgram, *head.mBudgetTokens, head.mMaxOutputTokens },
            limit,
            mReservation),
    LogFailure{});
}

boost::asio::awaitable<void>
TurnRunner::Reserve(Context& aContext,
                    programs::AttemptReserved aEvent,
                    base::TimePoint aDeadline,
                    std::shared_ptr<ReservationState> aState)
{
  ProgramLog& log = aContext.mPrograms;
  const auto appended = co_await log.Append(aEvent, aDeadline);
  if (!base::IsOk(appended)) {
    aState->mError = { ErrorKind::LogUnavailable, base::ErrorOf(appended).mMessage, "" };
  } else if (!co_await log.WaitApplied(base::ValueOf(appended), aDeadline)) {
    aState->mError = { ErrorKind::LogUnavailable, "the reservation was not read back in time", "" };
  } else {
    const auto state = log.Book().ReservationOf(aEvent.mProgram, aEvent.mAttempt);
    aState->mGranted = state == Reservation::Granted;
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
  co_return mReservation->mGranted;
}

boost::asio::awaitable<bool>
TurnRunner::OnHeader(http::response_header<> aHeader)
{
  mHeader = std::move(aHeader);
  co_return !mLink.Gone();
}

boost::asio::awaitable<bool>
TurnRunner::OnBytes(std::string_view aBytes)
{
  const std::string events = mOutput.Add(aBytes);
  if (events.empty()) {
    co_return true;
  }
  if (!co_await ReservationGranted()) {
    co_return false;
  }
  const bool begun = co_await SendHeader();
  co_return begun&& co_await mLink.SendPiece(events);
}

boost::asio::awaitable<bool>
TurnRunner::SendHeader()
{
  if (std::exchange(mHeaderSent, true)) {
    co_return true;
  }
  co_return co_await mLink.BeginStream(std::move(mHeader));
}

uint64_t
TurnRunner::TokensHandedOut() const
{
  const bool hasEngine = mCall.mService != nullptr && mCall.mService->mEngine;
  const uint64_t perEvent = hasEngine ? mCall.mService->mEngine->mTokensPerEvent : 1;
  return mHeaderSent ? mOutput.EventCount() * perEvent : 0;
}

boost::asio::awaitable<std::string>
TurnRunner::Finish(DispatchResult aResult)
{
  switch (aResult.mExchange.mStatus) {
    case ExchangeStatus::Streamed:
      co_return co_await Complete(aResult.mReplica);
    case ExchangeStatus::Whole: {
      ReleaseReservation(0);
      const auto status = aResult.mExchange.mAnswer.result_int();
      co_await mLink.SendWhole(std::move(aResult.mExchange.mAnswer));
      co_return fmt::format("replica {} answered {}", aResult.mReplica, status);
    }
    default:
      break;
  }
  ReleaseReservation(TokensHandedOut());
  if (mHeaderSent) {
    co_return "broken off: " + aResult.mExchange.mDetail;
  }
  if (mLink.Gone()) {
    co_return "caller gone";
  }
  const base::Error error = ErrorFor(aResult);
  co_await SendRefusal(mLink, mCall, error);
  co_return error.mMessage;
}

boost::asio::awaitable<std::string>
TurnRunner::Complete(const std::string& aReplica)
{
  const bool granted = co_await ReservationGranted();
  bool open = granted && !mLink.Gone();
  if (open) {
    open = co_await SendHeader();
  }
  if (open) {
    const std::string rest = mOutput.TakeRest();
    open = co_await mLink.SendPiece(rest);
  }
  if (!open) {
    ReleaseReservation(TokensHandedOut());
    if (!granted && !mHeaderSent) {
      const base::Error error{ ErrorKind::OutcomeUnknown, "the budget could not be reserved", "" };
      co_await SendRefusal(mLink, mCall, error);
    }
    co_return granted ? "caller gone" : "reservation not granted";
  }
  if (!co_await Commit(aReplica)) {
    ReleaseReservation(TokensHandedOut());
    co_return "not recorded in time; broken off";
  }
  co_return co_await mLink.EndStream() ? "complete" : "caller gone after the record";
}

boost::asio::awaitable<bool>
TurnRunner::Commit(const std::string& aReplica)
{
  const CallHead& head = mCall.mHead;
  programs::TurnCompleted turn{ head.mAttempt,
                                head.mProgram,
                                head.mPreviousTurn.value_or(""),
                                std::move(mCall.mRequest.body()),
                                mOutput.History(),
                                TokensHandedOut(),
                                aReplica,
                                mCall.mRoute->mRetention };
  const auto appended = co_await mContext.mPrograms.Append(std::move(turn), mCall.mDeadline);
  co_return base::IsOk(appended);
}

void
TurnRunner::ReleaseReservation(uint64_t aTokens)
{
  if (!mReservation) {
    return;
  }
  const CallHead& head = mCall.mHead;
  const auto release = [](Context& aContext,
                          programs::AttemptEnded aEvent) -> boost::asio::awaitable<void> {
    const std::string attempt = aEvent.mAttempt;
    const auto appended =
      co_await aContext.mPrograms.Append(std::move(aEvent), base::Clock::now() + kReleaseLimit);
    if (!base::IsOk(appended)) {
      base::Log(base::LogEvent::LogAppendFailed,
                "attempt={} the reservation stays until the program expires: {}",
                attempt,
                base::ErrorOf(appended).mMessage);
    }
  };
  boost::asio::co_spawn(
    mContext.mExecutor, release(mContext, { head.mAttempt, head.mProgram, aTokens }), LogFailure{});
}

Millis
TurnRunner::RetryAfter() const
{
  if (!mContext.mPrograms.Loaded()) {
    return kRetryAfterLoading;
  }
  return mContext.mStore.DownForAll() ? kRetryAfterOutage : kRetryAfter;
}

boost::asio::awaitable<std::string>
TurnRunner::Refuse(base::Error aError)
{
  co_await SendRefusal(mLink, mCall, aError, RetryAfter());
  co_return aError.mMessage;
}

}

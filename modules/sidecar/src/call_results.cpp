// The part of CallRunner that turns results of target requests into outcomes.
#include "call_runner.h"

#include "sycamore/base/log.h"
#include "sycamore/wire/codec.h"

#include <cassert>

namespace sycamore::sidecar {

using base::Error;
using base::ErrorKind;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::TimePoint;

// A request that is still unreported this long after its deadline is cancelled by the core.
static constexpr Millis kDeadlineGrace{ 2000 };

// Bytes kept of the body of a streamed call whose status is an error.
static constexpr size_t kMaxErrorBody = 4096;

void
CallRunner::OnData(const PendingRequest& aPending, std::string_view aData)
{
  const auto found = mCalls.find(aPending.mCall);
  if (found == mCalls.end()) {
    return;
  }
  ActiveCall& call = found->second;
  if (call.mFirstData.size() < kMaxErrorBody) {
    call.mFirstData += aData.substr(0, kMaxErrorBody - call.mFirstData.size());
  }
  if (call.mStreamBroken || call.mSuperseded) {
    return;
  }
  auto text = call.mParser.Feed(aData);
  if (!IsOk(text)) {
    call.mStreamBroken = true;
    call.mStreamError = ErrorOf(text).mMessage;
    return;
  }
  if (ValueOf(text).empty()) {
    return;
  }
  wire::CallTokenT token;
  token.call = std::make_unique<wire::CallIdT>(*call.mDispatch->call);
  token.attempt = call.mDispatch->attempt;
  token.index = call.mNextIndex++;
  token.text = TakeValue(std::move(text));
  mState.SendTo(call.mPeer, wire::MakeFrame(std::move(token)));
}

std::shared_ptr<wire::CallOutcomeT>
CallRunner::NewOutcome(const ActiveCall& aCall, TimePoint aNow) const
{
  auto outcome = std::make_shared<wire::CallOutcomeT>();
  outcome->call = std::make_unique<wire::CallIdT>(*aCall.mDispatch->call);
  outcome->attempt = aCall.mDispatch->attempt;
  const bool started = aCall.mStateMachine.Phase() != CallPhase::Queued;
  const auto queued = (started ? aCall.mStartedAt : aNow) - aCall.mQueuedAt;
  outcome->queued_ms = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(queued).count());
  return outcome;
}

// Estimates the usage of a call for which the engine reported none: the owner's estimate of the
// prompt, and one generated token per token frame.
static void
SetEstimatedUsage(const ActiveCall& aCall, wire::CallOutcomeT& aOutcome)
{
  aOutcome.prompt_tokens = aCall.mDispatch->prompt_tokens;
  aOutcome.generated_tokens = aCall.mNextIndex;
}

static void
SetUsage(const AnswerUsage& aUsage, wire::CallOutcomeT& aOutcome)
{
  aOutcome.prompt_tokens = aUsage.mPromptTokens;
  aOutcome.cached_tokens = aUsage.mCachedTokens;
  aOutcome.generated_tokens = aUsage.mGeneratedTokens;
}

// Sets the result of a call that may have run but has no usable answer.
static void
SetUnknown(const ActiveCall& aCall,
           ErrorKind aKind,
           const std::string& aMessage,
           wire::CallOutcomeT& aOutcome)
{
  const ErrorKind kind = aCall.mDispatch->repeatable ? aKind : ErrorKind::OutcomeUnknown;
  aOutcome.result = wire::CallResult::Unknown;
  aOutcome.error = base::AnswerFor(kind).mCode;
  aOutcome.message = aMessage;
  if (aCall.mDispatch->kind == wire::CallKind::Model) {
    SetEstimatedUsage(aCall, aOutcome);
  }
}

static void
SetStreamedAnswer(const ActiveCall& aCall, wire::CallOutcomeT& aOutcome)
{
  if (aCall.mStreamBroken || !aCall.mParser.Complete()) {
    const std::string cause =
      aCall.mStreamBroken ? aCall.mStreamError : "the stream ended without its end marker";
    SetUnknown(aCall, ErrorKind::TargetFailed, cause, aOutcome);
    return;
  }
  aOutcome.body = aCall.mParser.Body();
  if (aCall.mParser.Usage()) {
    SetUsage(*aCall.mParser.Usage(), aOutcome);
  } else {
    SetEstimatedUsage(aCall, aOutcome);
  }
}

static void
SetModelAnswer(const ActiveCall& aCall,
               const http::ClientResponse& aResponse,
               wire::CallOutcomeT& aOutcome)
{
  const auto usage = ParseAnswer(aResponse.mBody);
  if (!IsOk(usage)) {
    SetUnknown(aCall, ErrorKind::TargetFailed, ErrorOf(usage).mMessage, aOutcome);
    return;
  }
  aOutcome.body = aResponse.mBody;
  SetUsage(ValueOf(usage), aOutcome);
}

// An engine answers 409 without running the call if its fencing token is older than the engine's
// order.
static bool
RefusedByFence(const ActiveCall& aCall, const http::ClientResponse& aResponse)
{
  constexpr int kConflict = 409;
  return aCall.mDispatch->kind == wire::CallKind::Model && aResponse.mStatus == kConflict;
}

void
CallRunner::OnDone(const PendingRequest& aPending,
                   const http::ClientResponse& aResponse,
                   TimePoint aNow)
{
  const auto found = mCalls.find(aPending.mCall);
  assert(found != mCalls.end());
  ActiveCall& call = found->second;
  mState.mTargets.at(call.mTarget).mHealth.Answered();
  auto outcome = NewOutcome(call, aNow);
  outcome->result = wire::CallResult::Answered;
  outcome->status = static_cast<uint32_t>(aResponse.mStatus);
  const bool success = aResponse.mStatus >= 200 && aResponse.mStatus < 300;
  if (RefusedByFence(call, aResponse)) {
    outcome->result = wire::CallResult::NotRun;
    outcome->error = base::AnswerFor(ErrorKind::Fenced).mCode;
    outcome->message = "the engine rejected the fencing token";
    if (mHooks.mFenced) {
      mHooks.mFenced(call.mTarget);
    }
  } else if (!success) {
    outcome->error = base::AnswerFor(ErrorKind::TargetFailed).mCode;
    outcome->message = "the target answered with an error status";
    outcome->body = aResponse.mBody.empty() ? call.mFirstData : aResponse.mBody;
  } else if (call.mDispatch->kind == wire::CallKind::Tool) {
    outcome->body = aResponse.mBody;
  } else if (call.mDispatch->stream) {
    SetStreamedAnswer(call, *outcome);
  } else {
    SetModelAnswer(call, aResponse, *outcome);
  }
  ReleaseSlot(call, outcome->prompt_tokens + outcome->generated_tokens, aNow);
  FinishCall(aPending.mCall, std::move(outcome), aNow);
}

void
CallRunner::OnFailed(const PendingRequest& aPending,
                     const Error& aError,
                     http::SendProgress aProgress,
                     TimePoint aNow)
{
  const auto found = mCalls.find(aPending.mCall);
  assert(found != mCalls.end());
  ActiveCall& call = found->second;
  auto outcome = NewOutcome(call, aNow);
  const bool cancelled = call.mStateMachine.Phase() == CallPhase::Cancelling;
  if (aProgress == http::SendProgress::NothingSent) {
    outcome->result = wire::CallResult::NotRun;
    outcome->error = base::AnswerFor(aError.mKind).mCode;
    outcome->message = aError.mMessage;
    if (aError.mKind == ErrorKind::TargetRefused && !cancelled) {
      mState.mTargets.at(call.mTarget).mHealth.ConnectFailed(aNow);
    }
  } else {
    const bool expired = call.mExpiresAt <= aNow;
    const ErrorKind kind = expired ? ErrorKind::DeadlineExceeded : aError.mKind;
    SetUnknown(call, kind, aError.mMessage, *outcome);
  }
  ReleaseSlot(call, outcome->prompt_tokens + outcome->generated_tokens, aNow);
  FinishCall(aPending.mCall, std::move(outcome), aNow);
}

void
CallRunner::ReleaseSlot(ActiveCall& aCall, uint64_t aTokens, TimePoint aNow)
{
  TargetState& target = mState.mTargets.at(aCall.mTarget);
  assert(target.mRunning > 0);
  --target.mRunning;
  if (mHooks.mFinished) {
    mHooks.mFinished(aCall.mTarget, aCall.mKey.mProgram, aTokens, aNow);
  }
}

void
CallRunner::FinishNotRun(uint64_t aNumber, const Error& aError, TimePoint aNow)
{
  const ActiveCall& call = mCalls.at(aNumber);
  assert(call.mStateMachine.Phase() == CallPhase::Queued);
  const auto& waiting = mQueues.at(call.mTarget).mCalls;
  if (std::find(waiting.begin(), waiting.end(), aNumber) != waiting.end()) {
    Dequeue(aNumber);
  }
  auto outcome = NewOutcome(call, aNow);
  outcome->result = wire::CallResult::NotRun;
  outcome->error = base::AnswerFor(aError.mKind).mCode;
  outcome->message = aError.mMessage;
  FinishCall(aNumber, std::move(outcome), aNow);
}

void
CallRunner::FinishCall(uint64_t aNumber,
                       const std::shared_ptr<const wire::CallOutcomeT>& aOutcome,
                       TimePoint aNow)
{
  ActiveCall call = std::move(mCalls.at(aNumber));
  mCalls.erase(aNumber);
  const bool ran = call.mStateMachine.Phase() != CallPhase::Queued;
  [[maybe_unused]] const bool finished = call.mStateMachine.Apply(CallStep::Finish);
  assert(finished);
  Count(*aOutcome);
  Log(LogEvent::CallFinished,
      "{} seq {} attempt {}: {} {}",
      base::ToString(call.mKey.mProgram),
      aOutcome->call->seq,
      aOutcome->attempt,
      wire::EnumNameCallResult(aOutcome->result),
      aOutcome->error);
  if (!call.mSuperseded) {
    mCurrent.erase(call.mKey);
    mRegistry.Finish(call.mKey, aOutcome, aNow);
    SendOutcome(call.mPeer, *aOutcome);
  }
  if (ran) {
    StartWaiting(call.mTarget, aNow);
  }
}

void
CallRunner::Count(const wire::CallOutcomeT& aOutcome)
{
  SidecarCounters& counters = mState.mCounters;
  counters.mPromptTokens += aOutcome.prompt_tokens;
  counters.mCachedTokens += aOutcome.cached_tokens;
  counters.mGeneratedTokens += aOutcome.generated_tokens;
  switch (aOutcome.result) {
    case wire::CallResult::Answered:
      ++counters.mAnswered;
      return;
    case wire::CallResult::NotRun:
      ++counters.mNotRun;
      return;
    case wire::CallResult::Unknown:
      ++counters.mUnknown;
      return;
  }
}

void
CallRunner::SendOutcome(uint64_t aPeer, const wire::CallOutcomeT& aOutcome)
{
  // If there is no link, the outcome stays in the registry until the owner looks it up.
  mState.SendTo(aPeer, wire::MakeFrame(wire::CallOutcomeT(aOutcome)));
}

void
CallRunner::OnTick(TimePoint aNow)
{
  std::vector<uint64_t> expired;
  for (auto& [number, call] : mCalls) {
    const bool queued = call.mStateMachine.Phase() == CallPhase::Queued;
    if (queued && call.mExpiresAt <= aNow) {
      expired.push_back(number);
    }
    const bool overdue = !queued && call.mExpiresAt + kDeadlineGrace <= aNow;
    if (overdue && call.mStateMachine.Apply(CallStep::Cancel)) {
      mState.mOutput.CancelRequest(call.mRequestId);
    }
  }
  for (const uint64_t number : expired) {
    FinishNotRun(number, { ErrorKind::DeadlineExceeded, "expired while queued", "" }, aNow);
  }
}

void
CallRunner::RefuseQueued(const Error& aError, TimePoint aNow)
{
  std::vector<uint64_t> queued;
  for (const auto& [number, call] : mCalls) {
    if (call.mStateMachine.Phase() == CallPhase::Queued) {
      queued.push_back(number);
    }
  }
  for (const uint64_t number : queued) {
    FinishNotRun(number, aError, aNow);
  }
}

}

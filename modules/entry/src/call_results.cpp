// CallRunner: tokens and outcomes from sidecars, commits of results, and retries.
#include "call_runner.h"

#include "error_codes.h"
#include "sycamore/base/log.h"
#include "wire_ids.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::entry {

using base::ErrorKind;
using base::LogEvent;
using Phase = CallPhase;
using Transition = CallTransition;
using wire::LogOutcomeKind;

void
CallRunner::OnToken(transport::LinkId, const wire::CallTokenT& aToken)
{
  Call* call = aToken.call ? FindAttempt(*aToken.call, aToken.attempt) : nullptr;
  if (call == nullptr || call->mStateMachine.Phase() != Phase::Running) {
    return;
  }
  Attempt& attempt = call->mAttempt;
  if (attempt.mTokenMissing || aToken.index < attempt.mNextToken) {
    return;
  }
  if (aToken.index > attempt.mNextToken) {
    attempt.mTokenMissing = true;
    return;
  }
  ++attempt.mNextToken;
  attempt.mText += aToken.text;
  mDeps.mDelivery.Token(*call, aToken.text);
}

// Sends the streams the part of the complete text that they have not received.
void
CallRunner::SendRemainingText(Call& aCall, const std::string& aContent)
{
  if (!aCall.mRequest.mStream) {
    return;
  }
  const std::string& seen = aCall.mAttempt.mText;
  if (!aContent.starts_with(seen)) {
    mDeps.mDelivery.Reset(aCall);
    mDeps.mDelivery.Token(aCall, aContent);
  } else if (seen.size() < aContent.size()) {
    mDeps.mDelivery.Token(aCall, std::string_view(aContent).substr(seen.size()));
  }
}

void
CallRunner::OnOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome)
{
  if (!aOutcome.call) {
    return;
  }
  Call* call = FindAttempt(*aOutcome.call, aOutcome.attempt);
  if (call == nullptr) {
    OnUnmatchedOutcome(aLink, aOutcome);
    return;
  }
  call->mAttempt.mRoute.mLink = aLink;
  const Phase phase = call->mStateMachine.Phase();
  if (!call->mRequest.mRepeatable) {
    OnKeyedOutcome(*call, aOutcome);
  } else if (phase == Phase::Running || phase == Phase::Searching) {
    OnRepeatableOutcome(*call, aOutcome);
  }
}

// Handles an outcome that no call here waits for: acknowledges it, so that the sidecar discards it,
// unless it belongs to a non-idempotent call without an outcome in the log.
void
CallRunner::OnUnmatchedOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome)
{
  const base::ProgramId program = ProgramOf(*aOutcome.call);
  if (program.mPartition >= mDeps.mPartitions.Count()) {
    return;
  }
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(program.mPartition);
  if (state == nullptr) {
    return;
  }
  const std::string& key = aOutcome.call->key;
  const auto found = state->mPrograms.find(program);
  if (!key.empty() && found != state->mPrograms.end()) {
    const auto keyState = found->second.mKeys.find(key);
    if (keyState != found->second.mKeys.end() && !keyState->second.mOutcome) {
      return;
    }
  }
  wire::CallAckT ack;
  ack.call = std::make_unique<wire::CallIdT>(*aOutcome.call);
  ack.attempt = aOutcome.attempt;
  mDeps.mContext.mEffects.SendFrame(aLink, wire::MakeFrame(std::move(ack)));
}

static base::Error
ErrorOfOutcome(const wire::CallOutcomeT& aOutcome)
{
  const ErrorKind kind = KindOfCode(aOutcome.error).value_or(ErrorKind::TargetFailed);
  const std::string message =
    aOutcome.message.empty() ? "the target returned no usable response" : aOutcome.message;
  return { kind, message, "" };
}

void
CallRunner::OnRepeatableOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome)
{
  aCall.mPending = false;
  if (aOutcome.result == wire::CallResult::NotRun) {
    Acknowledge(aCall);
    RetryOrFail(aCall, ErrorOfOutcome(aOutcome), false);
    return;
  }
  const bool toolAnswer = !aCall.IsModel() && aOutcome.status < 500;
  const bool modelAnswer = aCall.IsModel() && aOutcome.status >= 200 && aOutcome.status < 300;
  if (aOutcome.result == wire::CallResult::Answered && (toolAnswer || modelAnswer)) {
    OnAnswered(aCall, aOutcome);
    return;
  }
  Acknowledge(aCall);
  const base::Error error = ErrorOfOutcome(aOutcome);
  aCall.mMayHaveRun = true;
  const bool refusedByTarget = aOutcome.result == wire::CallResult::Answered &&
                               aOutcome.status >= 400 && aOutcome.status < 500 &&
                               aOutcome.status != 429;
  if (refusedByTarget) {
    Fail(aCall, { error.mKind, fmt::format("the target answered {}", aOutcome.status), "" });
    return;
  }
  RetryOrFail(aCall, error, true);
}

void
CallRunner::OnAnswered(Call& aCall, const wire::CallOutcomeT& aOutcome)
{
  auto text = std::make_shared<TurnText>();
  text->mSeq = aCall.mRequest.mSeq;
  text->mRequestDigest = aCall.mRequest.mDigest;
  text->mRequest = aCall.mRequest.mText;
  text->mStatus = aOutcome.status;
  if (aCall.IsModel()) {
    const std::optional<std::string> content = ContentOf(aOutcome.body);
    if (!content) {
      Acknowledge(aCall);
      RetryOrFail(
        aCall, { ErrorKind::TargetFailed, "the target's response contains no text", "" }, true);
      return;
    }
    SendRemainingText(aCall, *content);
    text->mAnswer = ModelAnswer(
      *content, aOutcome.prompt_tokens, aOutcome.cached_tokens, aOutcome.generated_tokens);
    const uint64_t cached = std::min(aOutcome.cached_tokens, aOutcome.prompt_tokens);
    const uint64_t computed = aOutcome.prompt_tokens - cached + aOutcome.generated_tokens;
    aCall.mUsedTokens = aCall.mCharged + computed;
    aCall.mServedTokens = aOutcome.prompt_tokens + aOutcome.generated_tokens;
    Stats& stats = mDeps.mContext.mStats;
    stats.mPromptTokens += aOutcome.prompt_tokens;
    stats.mCachedTokens += cached;
    stats.mGeneratedTokens += aOutcome.generated_tokens;
  } else {
    text->mKind = wire::LogTurnKind::Tool;
    text->mAnswer = ToolAnswer(aOutcome.body, aOutcome.status);
  }
  DeriveText(*text);
  aCall.mMayHaveRun = true;
  aCall.mResult = std::move(text);
  aCall.mStateMachine.Apply(Transition::Commit);
  CommitTurn(aCall);
}

void
CallRunner::CommitTurn(Call& aCall)
{
  aCall.mAppended = mDeps.mRecorder.Turn(aCall, [this](Call& aFolded) { OnTurnFolded(aFolded); });
}

void
CallRunner::OnTurnFolded(Call& aCall)
{
  ++mDeps.mContext.mStats.mCallsCommitted;
  mDeps.mHistory.Put(aCall.mProgram, aCall.mResult);
  if (aCall.IsModel()) {
    const std::string& target = aCall.mAttempt.mRoute.mTarget;
    mDeps.mRouter.NotePrefix(aCall.mProgram, target, aCall.mServedTokens);
    if (ProgramRuntime* runtime = mDeps.mPrograms.Find(aCall.mProgram)) {
      runtime->mUnsettledTokens = 0;
    }
  }
  aCall.mCharged = 0;
  Acknowledge(aCall);
  mDeps.mDelivery.Done(aCall, *aCall.mResult);
  Finish(aCall);
}

void
CallRunner::OnKeyedOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome)
{
  aCall.mPending = false;
  if (aCall.mStateMachine.Phase() == Phase::Committing) {
    // The outcome Unknown is being recorded; the definite outcome is recorded after it.
    if (aCall.mOutcome == LogOutcomeKind::Unknown) {
      aCall.mLateOutcome = std::make_shared<const wire::CallOutcomeT>(aOutcome);
    }
    return;
  }
  aCall.mLastError = ErrorOfOutcome(aOutcome);
  aCall.mMayHaveRun = aOutcome.result != wire::CallResult::NotRun;
  if (aOutcome.result == wire::CallResult::NotRun) {
    CommitOutcome(aCall, LogOutcomeKind::NotRun, nullptr);
    return;
  }
  if (aOutcome.result == wire::CallResult::Unknown) {
    aCall.mFinal = true;
    CommitOutcome(aCall, LogOutcomeKind::Unknown, nullptr);
    return;
  }
  auto text = std::make_shared<TurnText>();
  text->mSeq = aCall.mRequest.mSeq;
  text->mKind = wire::LogTurnKind::Tool;
  text->mKey = aCall.mRequest.mKey;
  text->mRequestDigest = aCall.mRequest.mDigest;
  text->mRequest = aCall.mRequest.mText;
  text->mStatus = aOutcome.status;
  text->mAnswer = ToolAnswer(aOutcome.body, aOutcome.status);
  DeriveText(*text);
  CommitOutcome(aCall, LogOutcomeKind::Answered, std::move(text));
}

void
CallRunner::CommitOutcome(Call& aCall,
                          LogOutcomeKind aOutcome,
                          std::shared_ptr<const TurnText> aResult)
{
  if (aCall.mOutcome == LogOutcomeKind::Unknown && aOutcome == LogOutcomeKind::Unknown) {
    // The log already holds Unknown. The call ends if no definite outcome can arrive.
    if (aCall.mFinal) {
      Acknowledge(aCall);
      Finish(aCall);
    }
    return;
  }
  if (!aCall.mStateMachine.Apply(Transition::Commit)) {
    return;
  }
  aCall.mOutcome = aOutcome;
  aCall.mResult = std::move(aResult);
  AppendOutcome(aCall);
}

void
CallRunner::AppendOutcome(Call& aCall)
{
  aCall.mAppended =
    mDeps.mRecorder.Outcome(aCall, [this](Call& aFolded) { OnOutcomeFolded(aFolded); });
}

void
CallRunner::OnOutcomeFolded(Call& aCall)
{
  switch (*aCall.mOutcome) {
    case LogOutcomeKind::Answered:
      ++mDeps.mContext.mStats.mCallsCommitted;
      if (!aCall.mResult->mRequest.empty()) {
        mDeps.mHistory.Put(aCall.mProgram, aCall.mResult);
      }
      mDeps.mDelivery.Done(aCall, *aCall.mResult);
      break;
    case LogOutcomeKind::NotRun:
      mDeps.mDelivery.Fail(
        aCall,
        { ErrorKind::SealedNotRun,
          "the call did not run and its key cannot be reused; repeat it with a new seq and key: " +
            aCall.mLastError.mMessage,
          "" });
      break;
    case LogOutcomeKind::Unknown:
      ++mDeps.mContext.mStats.mUnknownOutcomes;
      base::Log(
        LogEvent::OutcomeUnknown, "{} seq {}", base::ToString(aCall.mProgram), aCall.mRequest.mSeq);
      mDeps.mDelivery.Fail(
        aCall,
        { ErrorKind::OutcomeUnknown, "the outcome is unknown; the call will not be repeated", "" });
      break;
  }
  const bool refine = aCall.mOutcome == LogOutcomeKind::Unknown && !aCall.mFinal;
  if (!refine) {
    Acknowledge(aCall);
    Finish(aCall);
    return;
  }
  aCall.mStateMachine.Apply(Transition::ResumeSearch);
  aCall.mAttempt.mSeal = true;
  if (aCall.mLateOutcome != nullptr) {
    const auto late = std::exchange(aCall.mLateOutcome, nullptr);
    OnKeyedOutcome(aCall, *late);
  }
}

// Whether the error comes from a sidecar that is leaving. Such calls are retried elsewhere without
// using the retry budget: nothing ran, and the sidecar is no longer chosen.
static bool
IsLeavingError(ErrorKind aKind)
{
  return aKind == ErrorKind::TargetLeaving || aKind == ErrorKind::Stopping;
}

void
CallRunner::RetryOrFail(Call& aCall, const base::Error& aError, bool aMayHaveRun)
{
  Context& context = mDeps.mContext;
  aCall.mLastError = aError;
  aCall.mPending = false;
  if (aMayHaveRun) {
    aCall.mMayHaveRun = true;
    aCall.mCharged += aCall.mAttemptTokens;
  }
  aCall.mExcluded.insert(aCall.mAttempt.mRoute.mTarget);
  const bool late = context.mNow >= aCall.mDeadline;
  if (late || (!IsLeavingError(aError.mKind) && !mRetries.TryRetry(context.mNow))) {
    Fail(aCall, aError);
    return;
  }
  ++context.mStats.mRetries;
  base::Log(LogEvent::CallRetried,
            "{} seq {}: {}",
            base::ToString(aCall.mProgram),
            aCall.mRequest.mSeq,
            aError.mMessage);
  if (!aCall.mAttempt.mText.empty()) {
    mDeps.mDelivery.Reset(aCall);
  }
  aCall.mAttempt = Attempt{};
  aCall.mStateMachine.Apply(Transition::Retry);
  Reserve(aCall);
}

void
CallRunner::Fail(Call& aCall, const base::Error& aError)
{
  const bool keyed = !aCall.mRequest.mRepeatable;
  const bool ran = aCall.mMayHaveRun || aCall.mPending;
  base::RunState run = base::RunState::NotRun;
  if (ran) {
    run = keyed ? base::RunState::Unknown : base::RunState::Uncommitted;
  }
  if (aCall.mPending && aCall.mRequest.mRepeatable) {
    aCall.mCharged += aCall.mAttemptTokens;
  }
  mDeps.mDelivery.Fail(aCall, aError, run);
  Finish(aCall);
}

void
CallRunner::Acknowledge(const Call& aCall)
{
  const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
  if (peer == nullptr || peer->mIncarnation != aCall.mAttempt.mRoute.mIncarnation) {
    return;
  }
  wire::CallAckT ack;
  ack.call = ToCallId(aCall.mProgram, aCall.mRequest.mSeq, aCall.mRequest.mKey);
  ack.attempt = aCall.mAttempt.mNumber;
  mDeps.mContext.mEffects.SendFrame(peer->mLink, wire::MakeFrame(std::move(ack)));
}

// Removes the call. Tokens that it may have used, but that no record settles, are charged to the
// program's next call.
void
CallRunner::Finish(Call& aCall)
{
  const base::TimePoint now = mDeps.mContext.mNow;
  if (!aCall.mRow.empty()) {
    const uint64_t used = std::max(aCall.mServedTokens, aCall.mCharged);
    mDeps.mAdmission.Finish(aCall.mRow, aCall.mAdmittedTokens, used, now);
  }
  if (ProgramRuntime* runtime = mDeps.mPrograms.Find(aCall.mProgram)) {
    runtime->mLastActive = now;
    runtime->mNextEvent = std::max(runtime->mNextEvent, aCall.mEvents.NextIndex());
    // mCharged started as the unsettled tokens, so it replaces them.
    if (aCall.IsModel() && aCall.mCharged > 0) {
      runtime->mUnsettledTokens = aCall.mCharged;
    }
  }
  aCall.mStateMachine.Apply(Transition::Finish);
  mDeps.mCalls.Remove(aCall.mProgram, aCall.mRequest.mSeq);
}

}

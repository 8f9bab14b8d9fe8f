#include "call_intake.h"

#include "sycamore/ledger/retention.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::entry {

using base::Error;
using base::ErrorKind;
using wire::LogOutcomeKind;

CallIntake::CallIntake(const CallDependencies& aDeps,
                       CallRunner& aRunner,
                       Answers& aAnswers,
                       ProgramMemory& aMemory,
                       std::function<void(const Incoming&, uint32_t)> aOnDraining)
  : mDeps(aDeps)
  , mRunner(aRunner)
  , mAnswers(aAnswers)
  , mMemory(aMemory)
  , mOnDraining(std::move(aOnDraining))
{
}

base::Result<const ledger::ProgramState*>
FindProgram(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  const auto found = aState.mPrograms.find(aId);
  if (found != aState.mPrograms.end()) {
    return &found->second;
  }
  if (ledger::MissingProgramError(aState, aId) == ErrorKind::ProgramExpired) {
    return Error{ ErrorKind::ProgramExpired, "the program has ended and its records expired", "" };
  }
  return Error{ ErrorKind::UnknownProgram, "there is no such program", "program" };
}

base::TimePoint
CallIntake::DeadlineOf(const Incoming& aIncoming, const CallRequest& aRequest) const
{
  const base::Millis given = aRequest.mDeadline.value_or(mDeps.mContext.mSettings.mDefaultDeadline);
  return std::min(aIncoming.mDeadline, mDeps.mContext.mNow + given);
}

void
CallIntake::Submit(const Incoming& aIncoming,
                   const base::ProgramId& aId,
                   const CallRequest& aRequest)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto program = FindProgram(state, aId);
  if (!base::IsOk(program)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(program));
    return;
  }
  const Request request{ aIncoming, aId, *base::ValueOf(program), aRequest };
  if (AnswerFromKey(request) || AnswerFromSeq(request)) {
    return;
  }
  std::optional<Error> refusal = CheckProgram(request);
  if (!refusal) {
    refusal = CheckService(request);
  }
  if (refusal) {
    mAnswers.Fail(aIncoming.mReply, *refusal);
    return;
  }
  if (mDeps.mContext.mDraining) {
    mOnDraining(aIncoming, aId.mPartition);
    return;
  }
  Start(request);
}

bool
CallIntake::AnswerFromKey(const Request& aRequest)
{
  const std::string& key = aRequest.mCall.mKey;
  if (key.empty()) {
    return false;
  }
  const Error reused{ ErrorKind::KeyReused, "the key was used for another call", "key" };
  Call* call = mDeps.mCalls.FindKey(aRequest.mId, key);
  const auto known = aRequest.mProgram.mKeys.find(key);
  if (call == nullptr && known == aRequest.mProgram.mKeys.end()) {
    return false;
  }
  const uint64_t digest = call != nullptr ? call->mRequest.mDigest : known->second.mRequestDigest;
  if (digest != aRequest.mCall.mDigest) {
    mAnswers.Fail(aRequest.mIncoming.mReply, reused);
    return true;
  }
  const bool waiting = call != nullptr && !call->mOutcome;
  if (waiting && call->mAttempt.mSeal && !mRunner.IsReachable(*call)) {
    mAnswers.Fail(aRequest.mIncoming.mReply,
                  { ErrorKind::OutcomeUnknown,
                    "the target of the call cannot be reached; the call will not be repeated",
                    "" });
  } else if (waiting || (call != nullptr && call->mStateMachine.Phase() == CallPhase::Committing)) {
    Attach(*call, aRequest.mIncoming, aRequest.mCall);
  } else {
    AnswerOutcome(aRequest.mIncoming, aRequest.mId, aRequest.mProgram, key);
  }
  return true;
}

void
CallIntake::AnswerOutcome(const Incoming& aIncoming,
                          const base::ProgramId& aId,
                          const ledger::ProgramState& aProgram,
                          const std::string& aKey)
{
  const auto known = aProgram.mKeys.find(aKey);
  const auto outcome = known == aProgram.mKeys.end() ? std::nullopt : known->second.mOutcome;
  if (outcome == LogOutcomeKind::Answered) {
    Replay(aIncoming, aId, aProgram, known->second.mSeq, false);
  } else if (outcome == LogOutcomeKind::NotRun) {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::SealedNotRun,
                    "the call did not run and its key cannot be reused; use a new seq and key",
                    "key" });
  } else {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::OutcomeUnknown,
                    "the outcome is unknown; the call will not be repeated",
                    "key" });
  }
}

static const ledger::TurnIndex*
FindTurn(const ledger::ProgramState& aProgram, uint32_t aSeq)
{
  const auto found = std::lower_bound(
    aProgram.mTurns.begin(),
    aProgram.mTurns.end(),
    aSeq,
    [](const ledger::TurnIndex& aTurn, uint32_t aOther) { return aTurn.mSeq < aOther; });
  return found != aProgram.mTurns.end() && found->mSeq == aSeq ? &*found : nullptr;
}

bool
CallIntake::AnswerFromSeq(const Request& aRequest)
{
  const uint32_t seq = aRequest.mCall.mSeq;
  const ReplyTo& reply = aRequest.mIncoming.mReply;
  if (seq < aRequest.mProgram.mNextSeq) {
    const ledger::TurnIndex* turn = FindTurn(aRequest.mProgram, seq);
    if (turn != nullptr && turn->mRequestDigest == aRequest.mCall.mDigest) {
      Replay(aRequest.mIncoming,
             aRequest.mId,
             aRequest.mProgram,
             seq,
             aRequest.mCall.mStream || aRequest.mIncoming.mAcceptsStream);
      return true;
    }
    mAnswers.Fail(reply,
                  { ErrorKind::TurnOutOfOrder,
                    fmt::format("seq {} belongs to another call; the next seq is {}",
                                seq,
                                aRequest.mProgram.mNextSeq),
                    "seq" });
    return true;
  }
  Call* call = mDeps.mCalls.Find(aRequest.mId, seq);
  if (call == nullptr) {
    return false;
  }
  if (call->mRequest.mDigest == aRequest.mCall.mDigest &&
      call->mRequest.mKey == aRequest.mCall.mKey) {
    Attach(*call, aRequest.mIncoming, aRequest.mCall);
  } else {
    mAnswers.Fail(reply,
                  { ErrorKind::CallInFlight, "another call with this seq is in progress", "seq" });
  }
  return true;
}

std::optional<Error>
CallIntake::CheckProgram(const Request& aRequest)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aRequest.mId.mPartition);
  const ledger::ProgramState& program = aRequest.mProgram;
  if (program.mEnded || mDeps.mPrograms.IsEnding(state, aRequest.mId)) {
    return Error{ ErrorKind::ProgramEnded, "the program has ended", "program" };
  }
  if (aRequest.mCall.mSeq != program.mNextSeq) {
    return Error{ ErrorKind::TurnOutOfOrder,
                  fmt::format("the next seq is {}", program.mNextSeq),
                  "seq" };
  }
  if (program.mMaxTurns > 0 && program.mNextSeq > program.mMaxTurns) {
    mDeps.mOnLimit(aRequest.mId, "turn_limit");
    return Error{ ErrorKind::TurnLimit, "the program has reached its turn limit", "seq" };
  }
  return std::nullopt;
}

std::optional<Error>
CallIntake::CheckService(const Request& aRequest)
{
  if (auto stale = mDeps.mTable.CheckAge()) {
    return stale;
  }
  const Context& context = mDeps.mContext;
  const std::string kind = mDeps.mRouter.KindOf(aRequest.mCall.mService);
  if (kind.empty()) {
    // Sidecars may not have connected yet shortly after the start.
    const bool starting = context.mNow - context.mStarted < 2 * context.mSettings.mOwnerTimeout;
    const ErrorKind unknown = starting ? ErrorKind::NoTarget : ErrorKind::UnknownService;
    return Error{ unknown, "no target of this service is known", "service" };
  }
  const bool model = aRequest.mCall.mKind == wire::CallKind::Model;
  if (model != (kind == "engine")) {
    return Error{ ErrorKind::InvalidField, "the service does not take calls of this kind", "kind" };
  }
  const bool logUnavailable =
    mDeps.mTable.IsLogUnavailable() || mDeps.mPartitions.IsLogFailing(aRequest.mId.mPartition);
  if (!aRequest.mCall.mRepeatable && logUnavailable) {
    return Error{ ErrorKind::LogUnavailable, "the log is not available; try again", "" };
  }
  if (context.mEffects.PendingBytes() >= context.mSettings.mMaxPendingBytes) {
    return Error{ ErrorKind::LogUnavailable,
                  "too many records are waiting to be written to the log; try again",
                  "" };
  }
  return std::nullopt;
}

// Typical bytes per token. The estimate is used only for the rate limit at admission.
static constexpr uint64_t kBytesPerToken = 4;

static uint64_t
EstimateTokens(const ledger::ProgramState& aProgram, const CallRequest& aRequest)
{
  if (aRequest.mKind == wire::CallKind::Tool) {
    return 0;
  }
  uint64_t bytes = aRequest.mMessages.size();
  for (const ledger::TurnIndex& turn : aProgram.mTurns) {
    bytes += turn.mBytes;
  }
  return bytes / kBytesPerToken + aRequest.mMaxTokens;
}

bool
CallIntake::Admit(const Request& aRequest, Call& aCall)
{
  const ledger::ProgramState& program = aRequest.mProgram;
  const auto row = mDeps.mTable.FindRow(program.mAccount, program.mRegion, aRequest.mCall.mService);
  if (!row) {
    mAnswers.Fail(aRequest.mIncoming.mReply,
                  { ErrorKind::RequestLimit,
                    "no row of the table allows this account to call the service",
                    "service" });
    return false;
  }
  const world::Contract share = policy::ShareOf(row->mContract, mDeps.mPeers.LiveEntries());
  const uint64_t tokens = EstimateTokens(program, aRequest.mCall);
  const auto refusal = mDeps.mAdmission.Admit(row->mName, share, tokens, mDeps.mContext.mNow);
  if (refusal) {
    ++mDeps.mContext.mStats.mCallsRefused;
    mAnswers.Fail(aRequest.mIncoming.mReply,
                  { refusal->mKind, fmt::format("the limit of row {} is reached", row->mName), "" },
                  std::nullopt,
                  refusal->mRetryAfter);
    return false;
  }
  aCall.mRow = row->mName;
  aCall.mAdmittedTokens = tokens;
  return true;
}

void
CallIntake::Start(const Request& aRequest)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aRequest.mId.mPartition);
  auto created =
    std::make_unique<Call>(aRequest.mId, aRequest.mCall, state.mEpoch, CallPhase::Loading);
  if (!Admit(aRequest, *created)) {
    return;
  }
  ++mDeps.mContext.mStats.mCallsStarted;
  mRunner.OnRequest();
  Call& call = mDeps.mCalls.Add(std::move(created));
  Attach(call, aRequest.mIncoming, aRequest.mCall);
  ProgramRuntime* runtime = mDeps.mPrograms.Find(aRequest.mId);
  mMemory.OnResumed(
    std::chrono::duration_cast<base::Millis>(mDeps.mContext.mNow - runtime->mLastActive));
  runtime->mLastActive = mDeps.mContext.mNow;
  if (!call.IsModel()) {
    mRunner.Reserve(call);
    return;
  }
  call.mCharged = runtime->mUnsettledTokens;
  mDeps.mHistory.Load(aRequest.mId,
                      aRequest.mProgram.mTurns,
                      aRequest.mProgram.mKeys,
                      [this, id = aRequest.mId, seq = aRequest.mCall.mSeq](const auto& aTexts) {
                        OnHistory(id, seq, aTexts);
                      });
}

void
CallIntake::OnHistory(const base::ProgramId& aId,
                      uint32_t aSeq,
                      const base::Result<std::vector<History::TextPtr>>& aTexts)
{
  Call* call = mDeps.mCalls.Find(aId, aSeq);
  if (call == nullptr || call->mStateMachine.Phase() != CallPhase::Loading) {
    return;
  }
  if (!base::IsOk(aTexts)) {
    mRunner.Fail(*call, base::ErrorOf(aTexts));
    return;
  }
  for (const History::TextPtr& text : base::ValueOf(aTexts)) {
    if (!text->mFragment.empty()) {
      call->mPrompt += text->mFragment;
      call->mPrompt += ',';
    }
    call->mPromptTokens =
      text->mTotalTokens ? *text->mTotalTokens : call->mPromptTokens + text->mTokenBound;
  }
  call->mPrompt += call->mRequest.mMessages;
  call->mPromptTokens += call->mRequest.mNewTokens;
  call->mAttemptTokens = call->mPromptTokens + call->mRequest.mMaxTokens;
  mRunner.Reserve(*call);
}

void
CallIntake::Attach(Call& aCall, const Incoming& aIncoming, const CallRequest& aRequest)
{
  Waiter waiter;
  waiter.mReply = aIncoming.mReply;
  waiter.mStream = aRequest.mStream || (aCall.IsModel() && aIncoming.mAcceptsStream);
  waiter.mDeadline = DeadlineOf(aIncoming, aRequest);
  aCall.mDeadline = std::max(aCall.mDeadline, waiter.mDeadline);
  // A stream that joins a call already dispatched without streaming gets the whole text in one
  // token event.
  aCall.mRequest.mStream = aCall.mRequest.mStream || waiter.mStream;
  mDeps.mDelivery.Attach(aCall, waiter, aIncoming.mLastEventId);
}

void
CallIntake::Replay(const Incoming& aIncoming,
                   const base::ProgramId& aId,
                   const ledger::ProgramState& aProgram,
                   uint32_t aSeq,
                   bool aStream)
{
  const ledger::TurnIndex* turn = FindTurn(aProgram, aSeq);
  if (turn == nullptr) {
    mAnswers.Fail(aIncoming.mReply, { ErrorKind::CallNotFound, "the call has no answer", "seq" });
    return;
  }
  const bool reset = !aIncoming.mLastEventId.empty();
  const bool model = turn->mKind == wire::LogTurnKind::Model;
  mDeps.mHistory.Load(
    aId,
    { *turn },
    aProgram.mKeys,
    [this, reply = aIncoming.mReply, reset, stream = aStream && model](const auto& aTexts) {
      if (base::IsOk(aTexts)) {
        mDeps.mDelivery.Replay(reply, *base::ValueOf(aTexts).front(), stream, reset);
      } else {
        mAnswers.Fail(reply, base::ErrorOf(aTexts), base::RunState::NotACall);
      }
    });
}

void
CallIntake::Get(const Incoming& aIncoming, const base::ProgramId& aId, uint32_t aSeq)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = FindProgram(state, aId);
  if (!base::IsOk(found)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(found));
    return;
  }
  const ledger::ProgramState& program = *base::ValueOf(found);
  if (FindTurn(program, aSeq) != nullptr) {
    Replay(aIncoming, aId, program, aSeq, false);
    return;
  }
  for (const auto& [name, key] : program.mKeys) {
    if (key.mSeq == aSeq && key.mOutcome) {
      AnswerOutcome(aIncoming, aId, program, name);
      return;
    }
  }
  if (const Call* call = mDeps.mCalls.Find(aId, aSeq)) {
    mAnswers.Json(
      aIncoming.mReply,
      200,
      boost::json::object{ { "seq", aSeq }, { "state", PhaseName(call->mStateMachine.Phase()) } });
    return;
  }
  mAnswers.Fail(aIncoming.mReply, { ErrorKind::CallNotFound, "there is no such call", "seq" });
}

void
CallIntake::Events(const Incoming& aIncoming, const base::ProgramId& aId, uint32_t aSeq)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = FindProgram(state, aId);
  if (!base::IsOk(found)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(found));
    return;
  }
  const ledger::ProgramState& program = *base::ValueOf(found);
  if (FindTurn(program, aSeq) != nullptr) {
    Replay(aIncoming, aId, program, aSeq, true);
    return;
  }
  Call* call = mDeps.mCalls.Find(aId, aSeq);
  if (call == nullptr) {
    mAnswers.Fail(aIncoming.mReply, { ErrorKind::CallNotFound, "there is no such call", "seq" });
    return;
  }
  Waiter waiter;
  waiter.mReply = aIncoming.mReply;
  waiter.mStream = true;
  waiter.mDeadline = std::max(call->mDeadline, mDeps.mContext.mNow);
  mDeps.mDelivery.Attach(*call, waiter, aIncoming.mLastEventId);
}

}

#include "call_runner.h"

#include "sycamore/base/log.h"
#include "sycamore/policy/routing.h"
#include "sycamore/wire/codec.h"

#include "call_request.h"

#include <algorithm>
#include <cassert>

namespace sycamore::sidecar {

using base::Error;
using base::ErrorKind;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::Result;
using base::TimePoint;
using transport::LinkId;

// Queued calls per target; further calls are refused as overloaded.
static constexpr size_t kMaxWaiting = 1024;

// Total size of the bodies of queued calls, enough for about 28 of the longest histories. Keeps the
// process below 64 MB.
static constexpr size_t kMaxWaitingBytes = size_t{ 16 } << 20;

CallRunner::CallRunner(CoreState& aState, CallHooks aHooks)
  : mState(aState)
  , mHooks(std::move(aHooks))
  , mRegistry(aState.mIncarnation, CallRegistryLimits{})
  , mQueues(aState.mTargets.size())
{
  mRules.mFifo = aState.mSettings.mOrdering == "fifo";
}

size_t
CallRunner::Queued(size_t aTarget) const
{
  return mQueues.at(aTarget).mCalls.size();
}

uint64_t
CallRunner::QueuedTokens(size_t aTarget) const
{
  return mQueues.at(aTarget).mTokens;
}

size_t
CallRunner::Active() const
{
  return mCalls.size();
}

const CallRegistry&
CallRunner::Registry() const
{
  return mRegistry;
}

const std::map<uint64_t, ActiveCall>&
CallRunner::Calls() const
{
  return mCalls;
}

ActiveCall*
CallRunner::ActiveOf(const CallKey& aKey)
{
  const auto found = mCurrent.find(aKey);
  return found == mCurrent.end() ? nullptr : &mCalls.at(found->second);
}

std::optional<size_t>
CallRunner::TargetNamed(const std::string& aName) const
{
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    if (mState.mTargets[i].mSettings.mTarget.mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

// Returns the index of the target, or the reason why the call cannot be queued.
Result<size_t>
CallRunner::CheckDispatch(const wire::DispatchT& aDispatch) const
{
  const auto target = TargetNamed(aDispatch.target);
  if (!target) {
    return Error{ ErrorKind::NoTarget, "the target does not exist on this sidecar", "target" };
  }
  const bool model = aDispatch.kind == wire::CallKind::Model;
  if (model != mState.mTargets[*target].IsEngine()) {
    return Error{ ErrorKind::InvalidField,
                  "the call kind does not match the kind of the target",
                  "kind" };
  }
  if (model && !IsObjectText(aDispatch.body)) {
    return Error{ ErrorKind::MalformedBody, "the body is not a JSON object", "body" };
  }
  if (!model && (aDispatch.path.empty() || aDispatch.path.starts_with('.'))) {
    return Error{ ErrorKind::InvalidField, "the tool path is empty or starts with a dot", "path" };
  }
  const bool bytesFit =
    mWaitingBytes == 0 || mWaitingBytes + aDispatch.body.size() <= kMaxWaitingBytes;
  if (Queued(*target) >= kMaxWaiting || !bytesFit) {
    return Error{ ErrorKind::Overloaded, "the queue of the target is full", "" };
  }
  return *target;
}

static DispatchFacts
FactsOf(const wire::DispatchT& aDispatch)
{
  DispatchFacts facts;
  facts.mKey = KeyOf(*aDispatch.call);
  facts.mEpoch = aDispatch.epoch;
  facts.mIncarnation = aDispatch.sidecar_incarnation;
  facts.mAttempt = aDispatch.attempt;
  facts.mRepeatable = aDispatch.repeatable;
  return facts;
}

void
CallRunner::OnDispatch(LinkId aLink,
                       const wire::DispatchT& aDispatch,
                       const std::optional<Error>& aRefusal,
                       TimePoint aNow)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  if (peer == 0 || !aDispatch.call) {
    return;
  }
  ++mState.mCounters.mDispatches;
  mState.mPeers.RaiseEpoch(peer, aDispatch.call->partition, aDispatch.epoch);
  const CallKey key = KeyOf(*aDispatch.call);
  const Admission admission = mRegistry.Admit(FactsOf(aDispatch), aNow);
  switch (admission.mDecision) {
    case AdmitDecision::Ignore:
      return;
    case AdmitDecision::Duplicate:
      AnswerDuplicate(peer, aDispatch);
      return;
    case AdmitDecision::Refuse:
      SendRefusal(peer, aDispatch, { admission.mError, "the sidecar refused the dispatch", "" });
      return;
    case AdmitDecision::Replace:
      Supersede(key);
      break;
    case AdmitDecision::Run:
      break;
  }
  const Result<size_t> target = CheckDispatch(aDispatch);
  const uint64_t number = AddCall(peer, aDispatch, aNow);
  if (aRefusal || !IsOk(target)) {
    ++mState.mCounters.mRefused;
    FinishNotRun(number, aRefusal ? *aRefusal : ErrorOf(target), aNow);
    return;
  }
  mCalls.at(number).mTarget = ValueOf(target);
  Enqueue(number, aNow);
  StartWaiting(ValueOf(target), aNow);
}

// Reports a dispatch that was not recorded in the registry as not run.
void
CallRunner::SendRefusal(uint64_t aPeer, const wire::DispatchT& aDispatch, const Error& aError)
{
  ++mState.mCounters.mRefused;
  Log(LogEvent::CallRefused,
      "partition {} seq {}: {}",
      aDispatch.call->partition,
      aDispatch.call->seq,
      base::AnswerFor(aError.mKind).mCode);
  wire::CallOutcomeT outcome;
  outcome.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  outcome.attempt = aDispatch.attempt;
  outcome.result = wire::CallResult::NotRun;
  outcome.error = base::AnswerFor(aError.mKind).mCode;
  outcome.message = aError.mMessage;
  SendOutcome(aPeer, outcome);
}

static wire::CallState
WireState(RecordState aState)
{
  switch (aState) {
    case RecordState::Queued:
      return wire::CallState::Queued;
    case RecordState::Running:
      return wire::CallState::Running;
    case RecordState::Finished:
      return wire::CallState::Finished;
    case RecordState::Sealed:
      break;
  }
  return wire::CallState::Sealed;
}

// Reports the current state of a known call instead of running it again.
void
CallRunner::AnswerDuplicate(uint64_t aPeer, const wire::DispatchT& aDispatch)
{
  ++mState.mCounters.mDuplicates;
  const CallKey key = KeyOf(*aDispatch.call);
  RedirectOutcome(key, aPeer, aDispatch.epoch);
  const CallRecord& record = *mRegistry.Find(key);
  wire::LookupReplyT reply;
  reply.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  reply.attempt = aDispatch.attempt;
  reply.state = WireState(record.mState);
  reply.incarnation = mState.mIncarnation;
  mState.SendTo(aPeer, wire::MakeFrame(std::move(reply)));
  if (record.mState == RecordState::Finished) {
    SendOutcome(aPeer, *record.mOutcome);
  }
}

// Cancels the current attempt of a repeatable call without sending an outcome.
void
CallRunner::Supersede(const CallKey& aKey)
{
  const auto current = mCurrent.find(aKey);
  if (current == mCurrent.end()) {
    return;
  }
  const uint64_t number = current->second;
  mCurrent.erase(current);
  ActiveCall& call = mCalls.at(number);
  call.mSuperseded = true;
  if (call.mStateMachine.Phase() == CallPhase::Queued) {
    Dequeue(number);
    call.mStateMachine.Apply(CallStep::Cancel);
    mCalls.erase(number);
    return;
  }
  if (call.mStateMachine.Apply(CallStep::Cancel)) {
    mState.mOutput.CancelRequest(call.mRequestId);
  }
  Log(LogEvent::CallRetried, "{}: superseded by a newer attempt", base::ToString(aKey.mProgram));
}

uint64_t
CallRunner::AddCall(uint64_t aPeer, const wire::DispatchT& aDispatch, TimePoint aNow)
{
  const uint64_t number = mNextNumber++;
  ActiveCall call;
  call.mKey = KeyOf(*aDispatch.call);
  call.mDispatch = std::make_unique<wire::DispatchT>(aDispatch);
  call.mPeer = aPeer;
  call.mQueuedAt = aNow;
  const Millis given(static_cast<int64_t>(std::min<uint64_t>(aDispatch.deadline_ms, 86400000)));
  call.mExpiresAt = aNow + (given > Millis(0) ? given : mState.mSettings.mDefaultDeadline);
  mCurrent[call.mKey] = number;
  mCalls.emplace(number, std::move(call));
  return number;
}

static uint64_t
TokensOf(const wire::DispatchT& aDispatch)
{
  return policy::DecodeEquivalent(aDispatch.prompt_tokens, aDispatch.max_tokens);
}

void
CallRunner::Enqueue(uint64_t aNumber, TimePoint aNow)
{
  const ActiveCall& call = mCalls.at(aNumber);
  Queue& queue = mQueues.at(call.mTarget);
  policy::WaitingCall waiting;
  waiting.mArrival = aNumber;
  waiting.mQueuedAt = aNow;
  waiting.mWeight = static_cast<double>(call.mDispatch->weight);
  waiting.mServiceTokens = mState.mSettings.mOrdering == "attained"
                             ? call.mDispatch->attained_tokens
                             : call.mDispatch->remaining_tokens;
  waiting.mPrefixLocal = mHooks.mHasPrefix && mHooks.mHasPrefix(call.mTarget, call.mKey.mProgram);
  queue.mWaiting.push_back(waiting);
  queue.mCalls.push_back(aNumber);
  queue.mTokens += TokensOf(*call.mDispatch);
  mWaitingBytes += call.mDispatch->body.size();
}

void
CallRunner::Dequeue(uint64_t aNumber)
{
  const ActiveCall& call = mCalls.at(aNumber);
  Queue& queue = mQueues.at(call.mTarget);
  const auto found = std::find(queue.mCalls.begin(), queue.mCalls.end(), aNumber);
  assert(found != queue.mCalls.end());
  queue.mWaiting.erase(queue.mWaiting.begin() + (found - queue.mCalls.begin()));
  queue.mCalls.erase(found);
  queue.mTokens -= TokensOf(*call.mDispatch);
  mWaitingBytes -= call.mDispatch->body.size();
}

void
CallRunner::StartWaiting(size_t aTarget, TimePoint aNow)
{
  Queue& queue = mQueues.at(aTarget);
  const TargetState& target = mState.mTargets.at(aTarget);
  while (target.mRunning < target.mSettings.mMaxRunning) {
    const auto next = policy::PickNext(queue.mWaiting, mRules, aNow);
    if (!next) {
      return;
    }
    const uint64_t number = queue.mCalls.at(*next);
    if (mCalls.at(number).mExpiresAt <= aNow) {
      FinishNotRun(number, { ErrorKind::DeadlineExceeded, "expired while queued", "" }, aNow);
    } else {
      StartCall(number, aNow);
    }
  }
}

void
CallRunner::StartCall(uint64_t aNumber, TimePoint aNow)
{
  ActiveCall& call = mCalls.at(aNumber);
  Dequeue(aNumber);
  [[maybe_unused]] const bool started = call.mStateMachine.Apply(CallStep::Start);
  assert(started);
  mRegistry.SetRunning(call.mKey);
  call.mStartedAt = aNow;
  TargetState& target = mState.mTargets.at(call.mTarget);
  ++target.mRunning;
  ++mState.mCounters.mStarted;
  if (mHooks.mStarted) {
    mHooks.mStarted(call.mTarget, call.mKey.mProgram, aNow);
  }
  const auto remaining = std::chrono::ceil<Millis>(call.mExpiresAt - aNow);
  PendingRequest pending{ RequestPurpose::Call, call.mTarget, aNumber, call.mKey.mProgram, aNow };
  call.mRequestId = mState.Start(pending, RequestFor(*call.mDispatch, target, remaining));
  // The request has its own copy of the body, and a history of 140,000 tokens exceeds 500 KB.
  call.mDispatch->body = std::string();
}

// Makes aPeer the receiver of the call's outcome, unless its epoch is older than the record's.
void
CallRunner::RedirectOutcome(const CallKey& aKey, uint64_t aPeer, uint64_t aEpoch)
{
  const CallRecord* record = mRegistry.Find(aKey);
  ActiveCall* call = ActiveOf(aKey);
  if (call != nullptr && record != nullptr && aEpoch >= record->mEpoch) {
    call->mPeer = aPeer;
  }
}

void
CallRunner::OnCancel(LinkId aLink, const wire::CallCancelT& aCancel, TimePoint aNow)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  const CallRecord* record = aCancel.call ? mRegistry.Find(KeyOf(*aCancel.call)) : nullptr;
  if (record == nullptr || record->mAttempt != aCancel.attempt) {
    return;
  }
  if (mState.mPeers.EpochOf(peer, aCancel.call->partition) < record->mEpoch) {
    return;
  }
  const auto current = mCurrent.find(KeyOf(*aCancel.call));
  if (current == mCurrent.end()) {
    return;
  }
  ActiveCall& call = mCalls.at(current->second);
  if (call.mStateMachine.Phase() == CallPhase::Queued) {
    FinishNotRun(current->second, { ErrorKind::SealedNotRun, "cancelled while queued", "" }, aNow);
    return;
  }
  // A running non-idempotent call is not cancelled: closing the connection would not undo it and
  // would lose its outcome.
  if (call.mDispatch->repeatable && call.mStateMachine.Apply(CallStep::Cancel)) {
    mState.mOutput.CancelRequest(call.mRequestId);
  }
}

void
CallRunner::OnAck(LinkId aLink, const wire::CallAckT& aAck)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  if (peer == 0 || !aAck.call) {
    return;
  }
  const uint64_t epoch = mState.mPeers.EpochOf(peer, aAck.call->partition);
  mRegistry.Ack(KeyOf(*aAck.call), aAck.attempt, epoch);
}

void
CallRunner::OnLookup(LinkId aLink, const wire::LookupT& aLookup)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  if (peer == 0 || !aLookup.call) {
    return;
  }
  const CallKey key = KeyOf(*aLookup.call);
  RedirectOutcome(key, peer, mState.mPeers.EpochOf(peer, aLookup.call->partition));
  const CallRecord* record = mRegistry.Find(key);
  const bool same =
    record != nullptr && (!record->mRepeatable || record->mAttempt == aLookup.attempt);
  wire::LookupReplyT reply;
  reply.call = std::make_unique<wire::CallIdT>(*aLookup.call);
  reply.attempt = aLookup.attempt;
  reply.state = same ? WireState(record->mState) : wire::CallState::Unseen;
  reply.incarnation = mState.mIncarnation;
  mState.mOutput.SendFrame(aLink, wire::MakeFrame(std::move(reply)));
  if (same && record->mState == RecordState::Finished) {
    mState.mOutput.SendFrame(aLink, wire::MakeFrame(wire::CallOutcomeT(*record->mOutcome)));
  }
}

static wire::CallState
WireState(SealState aState)
{
  switch (aState) {
    case SealState::Sealed:
      return wire::CallState::Sealed;
    case SealState::Queued:
      return wire::CallState::Queued;
    case SealState::Running:
      return wire::CallState::Running;
    case SealState::Finished:
      return wire::CallState::Finished;
    case SealState::Unknown:
    case SealState::NoAnswer:
      break;
  }
  return wire::CallState::Unseen;
}

void
CallRunner::OnSeal(LinkId aLink, const wire::SealT& aSeal, TimePoint aNow)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  if (peer == 0 || !aSeal.call) {
    return;
  }
  mState.mPeers.RaiseEpoch(peer, aSeal.call->partition, aSeal.epoch);
  const CallKey key = KeyOf(*aSeal.call);
  const SealState state = mRegistry.Seal(key, aSeal.epoch, aSeal.sidecar_incarnation, aNow);
  if (state == SealState::NoAnswer) {
    return;
  }
  RedirectOutcome(key, peer, aSeal.epoch);
  ++mState.mCounters.mSealed;
  wire::SealReplyT reply;
  reply.call = std::make_unique<wire::CallIdT>(*aSeal.call);
  reply.epoch = aSeal.epoch;
  reply.state = WireState(state);
  // No process has incarnation 0, so the owner treats the outcome as unknown.
  const bool unknownHere =
    state == SealState::Unknown && aSeal.sidecar_incarnation == mState.mIncarnation;
  reply.incarnation = unknownHere ? 0 : mState.mIncarnation;
  mState.mOutput.SendFrame(aLink, wire::MakeFrame(std::move(reply)));
  if (state == SealState::Finished) {
    const CallRecord& record = *mRegistry.Find(key);
    mState.mOutput.SendFrame(aLink, wire::MakeFrame(wire::CallOutcomeT(*record.mOutcome)));
  }
}

}

// CallRunner: lost connections, replaced sidecars, seals after a takeover, and deadlines.
#include "call_runner.h"

#include "sycamore/base/log.h"
#include "wire_ids.h"

#include <utility>

namespace sycamore::entry {

using base::ErrorKind;
using Phase = CallPhase;
using Transition = CallTransition;
using wire::LogOutcomeKind;

// A repeatable call whose sidecar does not reconnect is retried elsewhere after this time: the
// silence timeout of a connection plus the longest pause between dials.
static constexpr base::Millis kSearchTimeout{ 5000 };

// A call without a usable target fails after this time, so that its caller can decide whether to
// retry.
static constexpr base::Millis kTargetTimeout{ 5000 };

// Targets that refused or lost an attempt are not tried again for this time, unless there is no
// other.
static constexpr base::Millis kExclusionTime{ 500 };

// A lookup or seal without an answer on an open connection is repeated after this time.
static constexpr base::Millis kQueryRetryInterval{ 2000 };

// The call that a frame belongs to; null if there is none, or if the frame is of another attempt.
Call*
CallRunner::FindAttempt(const wire::CallIdT& aId, uint32_t aAttempt)
{
  const base::ProgramId program = ProgramOf(aId);
  if (!aId.key.empty()) {
    return mDeps.mCalls.FindKey(program, aId.key);
  }
  Call* call = mDeps.mCalls.Find(program, aId.seq);
  const bool same =
    call != nullptr && call->mRequest.mRepeatable && call->mAttempt.mNumber == aAttempt;
  return same ? call : nullptr;
}

// Sends a lookup or a seal for the call to aPeer, the sidecar incarnation of the call's attempt.
void
CallRunner::QuerySidecar(Call& aCall, const Peer& aPeer)
{
  Attempt& attempt = aCall.mAttempt;
  attempt.mRoute.mLink = aPeer.mLink;
  attempt.mQueriedAt = mDeps.mContext.mNow;
  auto id = ToCallId(aCall.mProgram, aCall.mRequest.mSeq, aCall.mRequest.mKey);
  if (attempt.mSeal) {
    ++mDeps.mContext.mStats.mSeals;
    wire::SealT seal;
    seal.call = std::move(id);
    seal.epoch = aCall.mEpoch;
    seal.sidecar_incarnation = attempt.mRoute.mIncarnation;
    mDeps.mContext.mEffects.SendFrame(aPeer.mLink, wire::MakeFrame(std::move(seal)));
  } else {
    ++mDeps.mContext.mStats.mLookups;
    wire::LookupT lookup;
    lookup.call = std::move(id);
    lookup.attempt = attempt.mNumber;
    mDeps.mContext.mEffects.SendFrame(aPeer.mLink, wire::MakeFrame(std::move(lookup)));
  }
}

void
CallRunner::OnSidecarConnected(const Peer& aPeer)
{
  mDeps.mCalls.ForEach([&](Call& aCall) {
    if (aCall.mAttempt.mRoute.mSidecar == aPeer.mInstance) {
      OnSidecarReconnected(aCall, aPeer);
    }
  });
}

// Continues a call after its sidecar instance has connected again.
void
CallRunner::OnSidecarReconnected(Call& aCall, const Peer& aPeer)
{
  const Phase phase = aCall.mStateMachine.Phase();
  const bool replaced = aPeer.mIncarnation != aCall.mAttempt.mRoute.mIncarnation;
  if (phase == Phase::Intending) {
    SendIntended(aCall);
    return;
  }
  if (phase == Phase::Running) {
    aCall.mAttempt.mLostAt = mDeps.mContext.mNow;
    aCall.mStateMachine.Apply(Transition::Disconnect);
  }
  if (phase != Phase::Running && phase != Phase::Searching && phase != Phase::Sealing) {
    return;
  }
  if (replaced) {
    OnSidecarReplaced(aCall);
  } else {
    QuerySidecar(aCall, aPeer);
  }
}

// The sidecar incarnation of the attempt no longer exists.
void
CallRunner::OnSidecarReplaced(Call& aCall)
{
  if (aCall.mRequest.mRepeatable) {
    RetryOrFail(
      aCall, { ErrorKind::ConnectionLost, "the target's sidecar was replaced", "" }, true);
    return;
  }
  aCall.mFinal = true;
  CommitOutcome(aCall, LogOutcomeKind::Unknown, nullptr);
}

void
CallRunner::OnLinkLost(transport::LinkId aLink)
{
  mDeps.mCalls.ForEach([&](Call& aCall) {
    if (aCall.mAttempt.mRoute.mLink != aLink || aCall.mStateMachine.Phase() != Phase::Running) {
      return;
    }
    aCall.mAttempt.mLostAt = mDeps.mContext.mNow;
    aCall.mStateMachine.Apply(Transition::Disconnect);
    const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
    if (peer != nullptr) {
      OnSidecarReconnected(aCall, *peer);
    }
  });
}

void
CallRunner::OnLookupReply(transport::LinkId aLink, const wire::LookupReplyT& aReply)
{
  Call* call = aReply.call ? FindAttempt(*aReply.call, aReply.attempt) : nullptr;
  if (call == nullptr || call->mAttempt.mSeal || call->mStateMachine.Phase() != Phase::Searching) {
    return;
  }
  if (aReply.incarnation != call->mAttempt.mRoute.mIncarnation) {
    OnSidecarReplaced(*call);
    return;
  }
  switch (aReply.state) {
    case wire::CallState::Queued:
    case wire::CallState::Running:
      call->mAttempt.mRoute.mLink = aLink;
      // Tokens sent on the lost connection may be missing; the outcome contains the whole text.
      call->mAttempt.mTokenMissing = true;
      call->mStateMachine.Apply(Transition::Locate);
      break;
    case wire::CallState::Finished:
      // The outcome follows.
      break;
    case wire::CallState::Sealed:
      if (!call->mRequest.mRepeatable) {
        CommitOutcome(*call, LogOutcomeKind::NotRun, nullptr);
      }
      break;
    case wire::CallState::Unseen:
      if (call->mRequest.mRepeatable) {
        RetryOrFail(
          *call, { ErrorKind::ConnectionLost, "the sidecar never received the call", "" }, false);
      } else if (Send(*call)) {
        // An incarnation runs each call id at most once, so dispatching it there again is safe.
        call->mStateMachine.Apply(Transition::Dispatch);
      }
      break;
  }
}

// Spec: spec/ownership.pml (seal).
void
CallRunner::OnSealReply(transport::LinkId, const wire::SealReplyT& aReply)
{
  Call* call = aReply.call ? FindAttempt(*aReply.call, 0) : nullptr;
  if (call == nullptr || !call->mAttempt.mSeal || aReply.epoch != call->mEpoch) {
    return;
  }
  const Phase phase = call->mStateMachine.Phase();
  if (phase != Phase::Sealing && phase != Phase::Searching) {
    return;
  }
  if (aReply.incarnation != call->mAttempt.mRoute.mIncarnation) {
    OnSidecarReplaced(*call);
    return;
  }
  if (aReply.state == wire::CallState::Sealed) {
    base::Log(base::LogEvent::IntentSealed,
              "{} seq {}",
              base::ToString(call->mProgram),
              call->mRequest.mSeq);
    CommitOutcome(*call, LogOutcomeKind::NotRun, nullptr);
  }
  if (aReply.state == wire::CallState::Queued || aReply.state == wire::CallState::Running) {
    call->mAttempt.mFound = true;
  }
}

static CallRequest
RequestOfKey(const std::string& aKey, const ledger::KeyState& aState)
{
  CallRequest request;
  request.mSeq = aState.mSeq;
  request.mKind = wire::CallKind::Tool;
  request.mDigest = aState.mRequestDigest;
  request.mRepeatable = false;
  request.mKey = aKey;
  return request;
}

void
CallRunner::OnAcquired(const ledger::PartitionState& aState)
{
  for (const auto& [id, program] : aState.mPrograms) {
    for (const auto& [name, key] : program.mKeys) {
      const bool open = !key.mOutcome || *key.mOutcome == LogOutcomeKind::Unknown;
      if (!open) {
        continue;
      }
      Call& call = mDeps.mCalls.Add(
        std::make_unique<Call>(id, RequestOfKey(name, key), aState.mEpoch, Phase::Sealing));
      call.mOutcome = key.mOutcome;
      call.mDeadline = mDeps.mContext.mNow;
      call.mMayHaveRun = true;
      call.mAttempt.mSeal = true;
      call.mAttempt.mRoute = { 0, key.mSidecar, key.mSidecarIncarnation, key.mTarget };
      call.mAttempt.mLostAt = mDeps.mContext.mNow;
      const Peer* peer = mDeps.mPeers.Sidecar(key.mSidecar);
      if (peer != nullptr) {
        OnSidecarReconnected(call, *peer);
      }
    }
  }
}

void
CallRunner::OnLost(uint32_t aPartition)
{
  mDeps.mCalls.ForEach([&](Call& aCall) {
    if (aCall.mProgram.mPartition != aPartition) {
      return;
    }
    if (aCall.mRequest.mRepeatable) {
      Cancel(aCall);
    }
    const bool ran = aCall.mMayHaveRun || aCall.mPending;
    const ErrorKind kind = ran ? ErrorKind::OwnerUnavailable : ErrorKind::NotOwner;
    Fail(aCall, { kind, "the program has a new owner; send the same request again", "" });
  });
}

void
CallRunner::OnProgramEnding(const base::ProgramId& aProgram)
{
  mDeps.mCalls.ForEachOf(aProgram, [&](Call& aCall) {
    const Phase phase = aCall.mStateMachine.Phase();
    const bool keyed = !aCall.mRequest.mRepeatable;
    const bool recorded = phase == Phase::Committing && aCall.mAppended;
    if (recorded || (keyed && phase != Phase::Ready)) {
      return;
    }
    Cancel(aCall);
    Fail(aCall,
         { ErrorKind::ProgramEnded, "the program ended while the call was in progress", "" });
  });
}

void
CallRunner::Cancel(const Call& aCall)
{
  if (!aCall.mPending) {
    return;
  }
  const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
  if (peer == nullptr || peer->mIncarnation != aCall.mAttempt.mRoute.mIncarnation) {
    return;
  }
  wire::CallCancelT cancel;
  cancel.call = ToCallId(aCall.mProgram, aCall.mRequest.mSeq, aCall.mRequest.mKey);
  cancel.attempt = aCall.mAttempt.mNumber;
  mDeps.mContext.mEffects.SendFrame(peer->mLink, wire::MakeFrame(std::move(cancel)));
}

bool
CallRunner::IsReachable(const Call& aCall)
{
  const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
  return peer != nullptr && peer->mIncarnation == aCall.mAttempt.mRoute.mIncarnation;
}

void
CallRunner::OnTick()
{
  mDeps.mCalls.ForEach([this](Call& aCall) {
    const base::ProgramId program = aCall.mProgram;
    const uint32_t seq = aCall.mRequest.mSeq;
    if (mDeps.mContext.mNow >= aCall.mDeadline) {
      OnDeadline(aCall);
    }
    if (Call* call = mDeps.mCalls.Find(program, seq)) {
      OnCallTick(*call);
    }
  });
}

void
CallRunner::OnCallTick(Call& aCall)
{
  const base::TimePoint now = mDeps.mContext.mNow;
  switch (aCall.mStateMachine.Phase()) {
    case Phase::Ready:
      if (now - aCall.mReadySince >= kExclusionTime) {
        aCall.mExcluded.clear();
      }
      TryDispatch(aCall);
      if (aCall.mStateMachine.Phase() == Phase::Ready &&
          now - aCall.mReadySince >= kTargetTimeout) {
        Fail(aCall, aCall.mLastError);
      }
      break;
    case Phase::Intending:
      SendIntended(aCall);
      break;
    case Phase::Committing:
      if (!aCall.mAppended && aCall.mOutcome) {
        AppendOutcome(aCall);
      } else if (!aCall.mAppended) {
        CommitTurn(aCall);
      }
      break;
    case Phase::Searching:
      if (aCall.mRequest.mRepeatable && now - aCall.mAttempt.mLostAt >= kSearchTimeout) {
        RetryOrFail(
          aCall, { ErrorKind::ConnectionLost, "the target's sidecar cannot be reached", "" }, true);
        break;
      }
      [[fallthrough]];
    case Phase::Sealing: {
      const ledger::PartitionState* state = mDeps.mPartitions.Owned(aCall.mProgram.mPartition);
      if (state != nullptr && !state->mPrograms.contains(aCall.mProgram)) {
        // A checkpoint dropped the ended program, so no further outcome can be recorded.
        Finish(aCall);
        break;
      }
      const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
      const bool due = now - aCall.mAttempt.mQueriedAt >= kQueryRetryInterval;
      if (peer != nullptr && due && !aCall.mAttempt.mFound) {
        OnSidecarReconnected(aCall, *peer);
        break;
      }
      // Records Unknown so that the program can issue its next call; a seal may still yield a
      // definite outcome.
      const bool waited = now - aCall.mAttempt.mLostAt >= mDeps.mContext.mSettings.mOwnerTimeout;
      if (aCall.mStateMachine.Phase() == Phase::Sealing && peer == nullptr && waited &&
          !aCall.mOutcome) {
        CommitOutcome(aCall, LogOutcomeKind::Unknown, nullptr);
      }
      break;
    }
    default:
      break;
  }
}

void
CallRunner::OnDeadline(Call& aCall)
{
  const base::TimePoint now = mDeps.mContext.mNow;
  const Phase phase = aCall.mStateMachine.Phase();
  const base::Error late{ ErrorKind::DeadlineExceeded, "the deadline of the call has passed", "" };
  if (phase == Phase::Committing) {
    const bool keyed = !aCall.mRequest.mRepeatable;
    const bool notRun = aCall.mOutcome == LogOutcomeKind::NotRun;
    const base::RunState run = notRun  ? base::RunState::NotRun
                               : keyed ? base::RunState::Unknown
                                       : base::RunState::Uncommitted;
    mDeps.mDelivery.FailExpired(
      aCall,
      now,
      { ErrorKind::LogUnavailable, "the answer could not be committed in time", "" },
      run);
    return;
  }
  if (aCall.mRequest.mRepeatable) {
    Cancel(aCall);
    const bool waiting = phase == Phase::Ready || phase == Phase::Reserving;
    Fail(aCall, waiting && !aCall.mMayHaveRun ? aCall.mLastError : late);
    return;
  }
  if (phase == Phase::Ready || phase == Phase::Loading) {
    Fail(aCall, aCall.mLastError);
    return;
  }
  if (phase == Phase::Intending) {
    // Nothing was sent and nothing will be: once the Intent record is folded, SendIntended records
    // the outcome NotRun, since the deadline has passed.
    mDeps.mDelivery.FailExpired(
      aCall,
      now,
      { ErrorKind::LogUnavailable, "the call could not be recorded in time", "" },
      base::RunState::NotRun);
    return;
  }
  mDeps.mDelivery.FailExpired(
    aCall,
    now,
    { ErrorKind::OutcomeUnknown, "the call is still running; it will not be repeated", "" },
    base::RunState::Unknown);
  if (phase == Phase::Running || phase == Phase::Searching) {
    CommitOutcome(aCall, LogOutcomeKind::Unknown, nullptr);
  }
}

}

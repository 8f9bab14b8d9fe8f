#include "call_runner.h"

#include "sycamore/base/log.h"
#include "wire_ids.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::entry {

using base::ErrorKind;
using Phase = CallPhase;
using Transition = CallTransition;

CallRunner::CallRunner(const CallDependencies& aDeps)
  : mDeps(aDeps)
{
}

void
CallRunner::OnRequest()
{
  mRetries.OnRequest(mDeps.mContext.mNow);
}

void
CallRunner::OnReady(Call& aCall)
{
  aCall.mReadySince = mDeps.mContext.mNow;
  TryDispatch(aCall);
}

policy::RouteRequest
CallRunner::RouteRequestOf(const Call& aCall) const
{
  policy::RouteRequest request;
  request.mPromptTokens = aCall.mPromptTokens;
  request.mMaxTokens = aCall.mRequest.mMaxTokens;
  request.mBytes = aCall.mPrompt.size() + aCall.mRequest.mArguments.size();
  return request;
}

// Spec: spec/ownership.pml (intent).
void
CallRunner::TryDispatch(Call& aCall)
{
  if (aCall.mStateMachine.Phase() != Phase::Ready) {
    return;
  }
  const auto route = mDeps.mRouter.Choose(
    aCall.mRequest.mService, aCall.mProgram, RouteRequestOf(aCall), aCall.mExcluded);
  if (!route) {
    return;
  }
  aCall.mAttempt = Attempt{};
  aCall.mAttempt.mRoute = *route;
  if (aCall.mRequest.mRepeatable) {
    aCall.mAttempt.mNumber = mNextAttempt++;
    if (Send(aCall)) {
      aCall.mStateMachine.Apply(Transition::Dispatch);
    }
    return;
  }
  const bool queued = mDeps.mRecorder.Intent(aCall, [this](Call& aFolded) {
    aFolded.mIntentFolded = true;
    SendIntended(aFolded);
  });
  if (queued) {
    aCall.mStateMachine.Apply(Transition::RecordIntent);
  }
}

// Dispatches a non-idempotent call after its Intent record is folded, only to the sidecar
// incarnation that the record names. Nothing was sent before, so if that incarnation no longer
// exists, the call did not run.
void
CallRunner::SendIntended(Call& aCall)
{
  if (aCall.mStateMachine.Phase() != Phase::Intending || !aCall.mIntentFolded) {
    return;
  }
  const Context& context = mDeps.mContext;
  const Peer* peer = mDeps.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
  const bool replaced = peer != nullptr && peer->mIncarnation != aCall.mAttempt.mRoute.mIncarnation;
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aCall.mProgram.mPartition);
  const bool ending = state == nullptr || mDeps.mPrograms.IsEnding(*state, aCall.mProgram);
  if (replaced || ending || context.mNow >= aCall.mDeadline) {
    CommitOutcome(aCall, wire::LogOutcomeKind::NotRun, nullptr);
    return;
  }
  if (peer == nullptr) {
    return;
  }
  aCall.mAttempt.mRoute.mLink = peer->mLink;
  if (Send(aCall)) {
    aCall.mStateMachine.Apply(Transition::Dispatch);
  }
}

wire::DispatchT
CallRunner::MakeDispatch(Call& aCall) const
{
  const CallRequest& request = aCall.mRequest;
  const auto left = std::chrono::duration_cast<base::Millis>(aCall.mDeadline - mDeps.mContext.mNow);
  wire::DispatchT dispatch;
  dispatch.call = ToCallId(aCall.mProgram, request.mSeq, request.mKey);
  dispatch.epoch = aCall.mEpoch;
  dispatch.attempt = aCall.mAttempt.mNumber;
  dispatch.kind = request.mKind;
  dispatch.repeatable = request.mRepeatable;
  dispatch.sidecar_incarnation = request.mRepeatable ? 0 : aCall.mAttempt.mRoute.mIncarnation;
  dispatch.target = aCall.mAttempt.mRoute.mTarget;
  dispatch.deadline_ms = static_cast<uint64_t>(std::max<int64_t>(1, left.count()));
  dispatch.stream = request.mStream;
  dispatch.prompt_tokens = aCall.mPromptTokens;
  dispatch.max_tokens = request.mMaxTokens;
  if (aCall.IsModel()) {
    dispatch.body = fmt::format(R"({{"model":{},"messages":[{}],"max_tokens":{}}})",
                                boost::json::serialize(request.mService),
                                aCall.mPrompt,
                                request.mMaxTokens);
  } else {
    dispatch.body = request.mArguments;
    dispatch.path = request.mTool;
  }
  return dispatch;
}

bool
CallRunner::Send(Call& aCall)
{
  wire::DispatchT dispatch = MakeDispatch(aCall);
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aCall.mProgram.mPartition);
  if (state == nullptr) {
    return false;
  }
  const ledger::ProgramState& program = state->mPrograms.at(aCall.mProgram);
  const auto row = mDeps.mTable.FindRow(program.mAccount, program.mRegion, aCall.mRequest.mService);
  dispatch.account = program.mAccount;
  dispatch.weight = static_cast<float>(row ? row->mContract.mWeight : 1.0);
  dispatch.attained_tokens = program.mSpentTokens;
  dispatch.remaining_tokens = mDeps.mPrograms.ExpectedRemainingTokens(program);
  const Route& route = aCall.mAttempt.mRoute;
  if (!mDeps.mContext.mEffects.SendFrame(route.mLink, wire::MakeFrame(std::move(dispatch)))) {
    return false;
  }
  aCall.mPending = true;
  mDeps.mRouter.OnSent(route, RouteRequestOf(aCall));
  base::Log(base::LogEvent::CallStarted,
            "{} seq {} target {}",
            base::ToString(aCall.mProgram),
            aCall.mRequest.mSeq,
            route.mTarget);
  return true;
}

void
CallRunner::FailBudgetExceeded(Call& aCall)
{
  const base::ProgramId program = aCall.mProgram;
  Fail(aCall,
       { ErrorKind::BudgetExceeded,
         fmt::format("the call may use {} tokens, more than the budget has left",
                     aCall.mAttemptTokens),
         "max_tokens" });
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(program.mPartition);
  const bool spent = state != nullptr && mDeps.mPrograms.FreeTokens(*state, program) == 0 &&
                     mDeps.mPrograms.Reserved(*state, program) == 0;
  if (spent && mDeps.mOnLimit) {
    mDeps.mOnLimit(program, "budget");
  }
}

void
CallRunner::Reserve(Call& aCall)
{
  const auto ready = [this](Call& aFolded) {
    if (aFolded.mStateMachine.Apply(Transition::Reserved)) {
      OnReady(aFolded);
    }
  };
  switch (mDeps.mReservations.Ensure(aCall, ready)) {
    case ReserveResult::Sufficient:
      aCall.mStateMachine.Apply(Transition::FinishLoading);
      OnReady(aCall);
      break;
    case ReserveResult::Appended:
      aCall.mStateMachine.Apply(Transition::Reserve);
      break;
    case ReserveResult::OverBudget:
      FailBudgetExceeded(aCall);
      break;
    case ReserveResult::QueueFull:
      Fail(aCall,
           { ErrorKind::Overloaded, "too many records are waiting to be written to the log", "" });
      break;
  }
}

}

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
using Step = CallStep;

CallRunner::CallRunner(const CallParts& aParts)
  : mParts(aParts)
{
}

void
CallRunner::OnRequest()
{
  mRetries.OnRequest(mParts.mContext.mNow);
}

void
CallRunner::OnReady(Call& aCall)
{
  aCall.mReadySince = mParts.mContext.mNow;
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
  if (aCall.mLife.Phase() != Phase::Ready) {
    return;
  }
  const auto route = mParts.mRouter.Choose(
    aCall.mRequest.mService, aCall.mProgram, RouteRequestOf(aCall), aCall.mExcluded);
  if (!route) {
    return;
  }
  aCall.mAttempt = Attempt{};
  aCall.mAttempt.mRoute = *route;
  if (aCall.mRequest.mRepeatable) {
    aCall.mAttempt.mNumber = mNextAttempt++;
    if (Send(aCall)) {
      aCall.mLife.Take(Step::Dispatch);
    }
    return;
  }
  const bool queued = mParts.mRecorder.Intent(aCall, [this](Call& aFolded) {
    aFolded.mIntentFolded = true;
    SendIntended(aFolded);
  });
  if (queued) {
    aCall.mLife.Take(Step::Intend);
  }
}

// Dispatches a non-idempotent call after its Intent record is folded, only to the sidecar
// incarnation that the record names. Nothing was sent before, so if that incarnation no longer
// exists, the call did not run.
void
CallRunner::SendIntended(Call& aCall)
{
  if (aCall.mLife.Phase() != Phase::Intending || !aCall.mIntentFolded) {
    return;
  }
  const Context& context = mParts.mContext;
  const Peer* peer = mParts.mPeers.Sidecar(aCall.mAttempt.mRoute.mSidecar);
  const bool replaced = peer != nullptr && peer->mIncarnation != aCall.mAttempt.mRoute.mIncarnation;
  const ledger::PartitionState* state = mParts.mPartitions.Owned(aCall.mProgram.mPartition);
  const bool ending = state == nullptr || mParts.mPrograms.IsEnding(*state, aCall.mProgram);
  if (replaced || ending || context.mNow >= aCall.mDeadline) {
    Decide(aCall, wire::LogOutcomeKind::NotRun, nullptr);
    return;
  }
  if (peer == nullptr) {
    return;
  }
  aCall.mAttempt.mRoute.mLink = peer->mLink;
  if (Send(aCall)) {
    aCall.mLife.Take(Step::Dispatch);
  }
}

wire::DispatchT
CallRunner::MakeDispatch(Call& aCall) const
{
  const CallRequest& request = aCall.mRequest;
  const auto left =
    std::chrono::duration_cast<base::Millis>(aCall.mDeadline - mParts.mContext.mNow);
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
  const ledger::PartitionState* state = mParts.mPartitions.Owned(aCall.mProgram.mPartition);
  if (state == nullptr) {
    return false;
  }
  const ledger::ProgramState& program = state->mPrograms.at(aCall.mProgram);
  const auto row =
    mParts.mTable.FindRow(program.mAccount, program.mRegion, aCall.mRequest.mService);
  dispatch.account = program.mAccount;
  dispatch.weight = static_cast<float>(row ? row->mContract.mWeight : 1.0);
  dispatch.attained_tokens = program.mSpentTokens;
  dispatch.remaining_tokens = mParts.mPrograms.ExpectedRest(program);
  const Route& route = aCall.mAttempt.mRoute;
  if (!mParts.mContext.mEffects.SendFrame(route.mLink, wire::MakeFrame(std::move(dispatch)))) {
    return false;
  }
  aCall.mPending = true;
  mParts.mRouter.OnSent(route, RouteRequestOf(aCall));
  base::Log(base::LogEvent::CallStarted,
            "{} seq {} target {}",
            base::ToString(aCall.mProgram),
            aCall.mRequest.mSeq,
            route.mTarget);
  return true;
}

void
CallRunner::FailByBudget(Call& aCall)
{
  const base::ProgramId program = aCall.mProgram;
  Fail(aCall,
       { ErrorKind::BudgetExceeded,
         fmt::format("the call may use {} tokens, more than the budget has left", aCall.mNeed),
         "max_tokens" });
  const ledger::PartitionState* state = mParts.mPartitions.Owned(program.mPartition);
  const bool spent = state != nullptr && mParts.mPrograms.FreeTokens(*state, program) == 0 &&
                     mParts.mPrograms.Reserved(*state, program) == 0;
  if (spent && mParts.mOnLimit) {
    mParts.mOnLimit(program, "budget");
  }
}

void
CallRunner::Reserve(Call& aCall)
{
  const auto ready = [this](Call& aFolded) {
    if (aFolded.mLife.Take(Step::Reserved)) {
      OnReady(aFolded);
    }
  };
  switch (mParts.mReservations.Ensure(aCall, ready)) {
    case ReserveResult::Enough:
      aCall.mLife.Take(Step::Load);
      OnReady(aCall);
      break;
    case ReserveResult::Appended:
      aCall.mLife.Take(Step::Reserve);
      break;
    case ReserveResult::NoBudget:
      FailByBudget(aCall);
      break;
    case ReserveResult::NoRoom:
      Fail(aCall,
           { ErrorKind::Overloaded, "too many records are waiting to be written to the log", "" });
      break;
  }
}

}

#pragma once

#include "call_recorder.h"
#include "call_registry.h"
#include "delivery.h"
#include "history.h"
#include "peers.h"
#include "reservations.h"
#include "router.h"
#include "sycamore/policy/admission.h"
#include "sycamore/policy/retry_budget.h"
#include "table_state.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sycamore::entry {

// The components of EntryCore that handle calls.
struct CallDependencies
{
  Context& mContext;
  CallRegistry& mCalls;
  CallRecorder& mRecorder;
  Delivery& mDelivery;
  History& mHistory;
  PartitionMap& mPartitions;
  Peers& mPeers;
  policy::Admission& mAdmission;
  ProgramRegistry& mPrograms;
  Reservations& mReservations;
  Router& mRouter;
  TableState& mTable;
  // Ends a program that has reached the limit with the given name.
  std::function<void(const base::ProgramId&, const std::string&)> mOnLimit;
};

// Runs accepted calls to completion: routing, dispatch, retries, lookups, seals and commits. Keyed
// calls are the non-idempotent ones.
// Spec: spec/ownership.pml (owner).
class CallRunner
{
public:
  explicit CallRunner(const CallDependencies& aDeps);

  // The call's reservation is durable, or it needs none: dispatches the call as soon as a target is
  // available.
  void OnReady(Call& aCall);

  // Seals the non-idempotent calls of a newly acquired partition whose outcome is missing in the
  // log or Unknown.
  void OnAcquired(const ledger::PartitionState& aState);

  // Ends the calls of a partition that is no longer owned.
  void OnLost(uint32_t aPartition);

  // The program is ending: cancels its calls. Calls whose result is appended, and non-idempotent
  // calls in a phase other than Ready, run to completion instead.
  void OnProgramEnding(const base::ProgramId& aProgram);

  void OnToken(transport::LinkId aLink, const wire::CallTokenT& aToken);
  void OnOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome);
  void OnLookupReply(transport::LinkId aLink, const wire::LookupReplyT& aReply);
  void OnSealReply(transport::LinkId aLink, const wire::SealReplyT& aReply);

  void OnSidecarConnected(const Peer& aPeer);
  void OnLinkLost(transport::LinkId aLink);
  void OnTick();

  // The prompt of the call and the tokens of one attempt are known: makes the reservation durable,
  // then calls OnReady. Fails the call if the budget does not allow it.
  void Reserve(Call& aCall);

  // Ends a call with an error. The error says that the call did not run, unless an attempt may
  // have.
  void Fail(Call& aCall, const base::Error& aError);

  // Whether the sidecar incarnation of the call's attempt is connected, so that it can still report
  // the outcome.
  bool IsReachable(const Call& aCall);

  // Counts a new request; the retry budget grows with requests.
  void OnRequest();

  const CallDependencies& Dependencies() const { return mDeps; }

private:
  // Dispatch (call_runner.cpp).
  void TryDispatch(Call& aCall);
  void SendIntended(Call& aCall);
  bool Send(Call& aCall);
  wire::DispatchT MakeDispatch(Call& aCall) const;
  void FailBudgetExceeded(Call& aCall);
  policy::RouteRequest RouteRequestOf(const Call& aCall) const;

  // Results (call_results.cpp).
  void OnRepeatableOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnAnswered(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnKeyedOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnUnmatchedOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome);
  void SendRemainingText(Call& aCall, const std::string& aContent);
  void RetryOrFail(Call& aCall, const base::Error& aError, bool aMayHaveRun);
  void CommitTurn(Call& aCall);
  void CommitOutcome(Call& aCall,
                     wire::LogOutcomeKind aOutcome,
                     std::shared_ptr<const TurnText> aResult);
  void AppendOutcome(Call& aCall);
  void OnTurnFolded(Call& aCall);
  void OnOutcomeFolded(Call& aCall);
  void Acknowledge(const Call& aCall);
  void Finish(Call& aCall);

  // Recovery (call_recovery.cpp).
  void QuerySidecar(Call& aCall, const Peer& aPeer);
  void OnSidecarReconnected(Call& aCall, const Peer& aPeer);
  void OnSidecarReplaced(Call& aCall);
  void OnCallTick(Call& aCall);
  void OnDeadline(Call& aCall);
  void Cancel(const Call& aCall);
  Call* FindAttempt(const wire::CallIdT& aId, uint32_t aAttempt);

  CallDependencies mDeps;
  policy::RetryBudget mRetries;
  uint32_t mNextAttempt = 1;
};

}

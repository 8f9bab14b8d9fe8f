#pragma once

#include "call_book.h"
#include "call_recorder.h"
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

// The parts of the core that a call runs through.
struct CallParts
{
  Context& mContext;
  CallBook& mCalls;
  CallRecorder& mRecorder;
  Delivery& mDelivery;
  History& mHistory;
  PartitionMap& mPartitions;
  Peers& mPeers;
  policy::Admission& mAdmission;
  ProgramBook& mPrograms;
  Reservations& mReservations;
  Router& mRouter;
  TableState& mTable;
  // Ends a program that has reached a limit, which is named.
  std::function<void(const base::ProgramId&, const std::string&)> mOnLimit;
};

// Brings accepted calls to their end: routing, dispatch, retries, lookups, seals and commits.
// Spec: spec/ownership.pml (owner).
class CallRunner
{
public:
  explicit CallRunner(const CallParts& aParts);

  // The call's reservation is durable, or it needs none: it waits for a target from now on.
  void OnReady(Call& aCall);

  // Takes over the calls that the log of a newly owned partition leaves undecided or unknown.
  void OnAcquired(const ledger::PartitionState& aState);

  // Ends the calls of a partition that is no longer owned.
  void OnLost(uint32_t aPartition);

  // The program is ending: its repeatable calls are cancelled; others are followed to their end.
  void OnProgramEnding(const base::ProgramId& aProgram);

  void OnToken(transport::LinkId aLink, const wire::CallTokenT& aToken);
  void OnOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome);
  void OnLookupReply(transport::LinkId aLink, const wire::LookupReplyT& aReply);
  void OnSealReply(transport::LinkId aLink, const wire::SealReplyT& aReply);

  void OnSidecarConnected(const Peer& aPeer);
  void OnLinkLost(transport::LinkId aLink);
  void OnTick();

  // The prompt and need of the call are known: makes its reservation durable and goes on. Fails the
  // call if the budget does not allow it.
  void Reserve(Call& aCall);

  // Ends a call with an error; its callers are told that it did not run unless an attempt may have.
  void Fail(Call& aCall, const base::Error& aError);

  // Whether a call found in the log can get a better answer soon.
  bool IsReachable(const Call& aCall);

  // Counts a new request for the retry budget.
  void OnRequest();

  const CallParts& Parts() const { return mParts; }

private:
  // Dispatch (call_runner.cpp).
  void TryDispatch(Call& aCall);
  void SendIntended(Call& aCall);
  bool Send(Call& aCall);
  wire::DispatchT MakeDispatch(Call& aCall) const;
  void FailByBudget(Call& aCall);
  policy::RouteRequest RouteRequestOf(const Call& aCall) const;

  // Results (call_results.cpp).
  void OnRepeatableOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnAnswered(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnKeyedOutcome(Call& aCall, const wire::CallOutcomeT& aOutcome);
  void OnStray(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome);
  void CompleteText(Call& aCall, const std::string& aContent);
  void RetryOrFail(Call& aCall, const base::Error& aError, bool aMayHaveRun);
  void CommitTurn(Call& aCall);
  void Decide(Call& aCall, wire::LogOutcomeKind aOutcome, std::shared_ptr<const TurnText> aResult);
  void AppendOutcome(Call& aCall);
  void OnTurnFolded(Call& aCall);
  void OnOutcomeFolded(Call& aCall);
  void Acknowledge(const Call& aCall);
  void Finish(Call& aCall);

  // Recovery (call_recovery.cpp).
  void Ask(Call& aCall, const Peer& aPeer);
  void OnPeerOf(Call& aCall, const Peer& aPeer);
  void OnGone(Call& aCall);
  void OnTickOf(Call& aCall);
  void OnDeadline(Call& aCall);
  void Cancel(const Call& aCall);
  Call* Match(const wire::CallIdT& aId, uint32_t aAttempt);

  CallParts mParts;
  policy::RetryBudget mRetries;
  uint32_t mNextAttempt = 1;
};

}

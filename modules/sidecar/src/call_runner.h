#pragma once

#include "sycamore/base/error.h"
#include "sycamore/http/async_client.h"
#include "sycamore/policy/ordering.h"
#include "sycamore/sidecar/answer_parser.h"
#include "sycamore/sidecar/call_registry.h"
#include "sycamore/sidecar/call_state_machine.h"

#include "core_state.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sycamore::sidecar {

// A call that is queued or running.
struct ActiveCall
{
  CallKey mKey;
  std::unique_ptr<wire::DispatchT> mDispatch; // Without its body once started.
  size_t mTarget = 0;
  uint64_t mPeer = 0; // Incarnation of the entry that receives the tokens and the outcome.
  base::TimePoint mQueuedAt;
  base::TimePoint mStartedAt;
  base::TimePoint mExpiresAt;
  uint64_t mRequestId = 0;
  CallStateMachine mStateMachine;
  AnswerParser mParser;
  uint32_t mNextIndex = 0;
  bool mStreamBroken = false; // The stream could not be parsed; the call fails.
  std::string mStreamError;
  std::string mFirstData;   // Start of the streamed body, for answers with an error status.
  bool mSuperseded = false; // Replaced by a newer attempt; no outcome is sent.
};

// Callbacks of CallRunner into the tracking of engine memory and orders.
struct CallHooks
{
  std::function<bool(size_t, const base::ProgramId&)> mHasPrefix;
  std::function<void(size_t, const base::ProgramId&, base::TimePoint)> mStarted;
  std::function<void(size_t, const base::ProgramId&, uint64_t, base::TimePoint)> mFinished;
  std::function<void(size_t)> mFenced; // The engine rejected the fencing token of a call.
};

// Admits, queues, starts and finishes calls, and sends their tokens and outcomes.
class CallRunner
{
public:
  CallRunner(CoreState& aState, CallHooks aHooks);

  // If aRefusal is set, a new call is reported as not run with that error.
  void OnDispatch(transport::LinkId aLink,
                  const wire::DispatchT& aDispatch,
                  const std::optional<base::Error>& aRefusal,
                  base::TimePoint aNow);
  void OnCancel(transport::LinkId aLink, const wire::CallCancelT& aCancel, base::TimePoint aNow);
  void OnAck(transport::LinkId aLink, const wire::CallAckT& aAck);
  void OnLookup(transport::LinkId aLink, const wire::LookupT& aLookup);
  void OnSeal(transport::LinkId aLink, const wire::SealT& aSeal, base::TimePoint aNow);

  void OnData(const PendingRequest& aPending, std::string_view aData);
  void OnDone(const PendingRequest& aPending,
              const http::ClientResponse& aResponse,
              base::TimePoint aNow);
  void OnFailed(const PendingRequest& aPending,
                const base::Error& aError,
                http::SendProgress aProgress,
                base::TimePoint aNow);

  // Finishes queued calls past their deadline and cancels overdue running ones.
  void OnTick(base::TimePoint aNow);

  // Finishes all queued calls as not run.
  void RefuseQueued(const base::Error& aError, base::TimePoint aNow);

  size_t Queued(size_t aTarget) const;
  uint64_t QueuedTokens(size_t aTarget) const;
  size_t Active() const;
  const CallRegistry& Registry() const;
  const std::map<uint64_t, ActiveCall>& Calls() const;

private:
  struct Queue
  {
    std::vector<policy::WaitingCall> mWaiting;
    std::vector<uint64_t> mCalls; // In the order of mWaiting.
    uint64_t mTokens = 0;
  };

  std::optional<size_t> TargetNamed(const std::string& aName) const;
  base::Result<size_t> CheckDispatch(const wire::DispatchT& aDispatch) const;
  void SendRefusal(uint64_t aPeer, const wire::DispatchT& aDispatch, const base::Error& aError);
  void AnswerDuplicate(uint64_t aPeer, const wire::DispatchT& aDispatch);
  void Supersede(const CallKey& aKey);
  uint64_t AddCall(uint64_t aPeer, const wire::DispatchT& aDispatch, base::TimePoint aNow);
  void Enqueue(uint64_t aNumber, base::TimePoint aNow);
  void Dequeue(uint64_t aNumber);
  void StartWaiting(size_t aTarget, base::TimePoint aNow);
  void StartCall(uint64_t aNumber, base::TimePoint aNow);
  void RedirectOutcome(const CallKey& aKey, uint64_t aPeer, uint64_t aEpoch);
  ActiveCall* ActiveOf(const CallKey& aKey);
  void ReleaseSlot(ActiveCall& aCall, uint64_t aTokens, base::TimePoint aNow);
  std::shared_ptr<wire::CallOutcomeT> NewOutcome(const ActiveCall& aCall,
                                                 base::TimePoint aNow) const;
  void FinishCall(uint64_t aNumber,
                  const std::shared_ptr<const wire::CallOutcomeT>& aOutcome,
                  base::TimePoint aNow);
  void FinishNotRun(uint64_t aNumber, const base::Error& aError, base::TimePoint aNow);
  void SendOutcome(uint64_t aPeer, const wire::CallOutcomeT& aOutcome);
  void Count(const wire::CallOutcomeT& aOutcome);

  CoreState& mState;
  CallHooks mHooks;
  CallRegistry mRegistry;
  policy::OrderingRules mRules;
  std::map<uint64_t, ActiveCall> mCalls;
  std::map<CallKey, uint64_t> mCurrent; // Number of the current attempt of each active call.
  std::vector<Queue> mQueues;           // By target.
  uint64_t mNextNumber = 1;
  size_t mWaitingBytes = 0; // Bodies of queued calls.
};

}

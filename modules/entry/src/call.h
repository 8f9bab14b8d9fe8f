#pragma once

#include "call_request.h"
#include "call_state_machine.h"
#include "event_buffer.h"
#include "reply_to.h"
#include "router.h"
#include "sycamore/base/program_id.h"
#include "turn_text.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::entry {

// A caller that waits for a call.
struct Waiter
{
  ReplyTo mReply;
  bool mStream = false;
  bool mStarted = false; // The first part of the response was sent.
  bool mReset = false;   // A reset event is sent before the next event.
  size_t mNext = 0;      // Index of the next event to send.
  base::TimePoint mDeadline;
};

// One dispatch of a call.
struct Attempt
{
  uint32_t mNumber = 0; // 0 for a non-idempotent call.
  Route mRoute;
  uint32_t mNextToken = 0;    // Index of the next token.
  std::string mText;          // Text received and passed to the callers so far.
  bool mTokenMissing = false; // A token is missing; the remaining text comes with the outcome.
  bool mSeal = false;         // The sidecar is asked by a seal instead of a lookup.
  bool mFound = false;        // The sidecar answered the seal: the call is queued or running.
  base::TimePoint mLostAt;    // When the connection was lost.
  base::TimePoint mQueriedAt;
};

// A call at its owner, from its acceptance until the record of its result is folded (see Commits).
struct Call
{
  // aFirstEvent is the index of the call's first event.
  Call(const base::ProgramId& aProgram,
       CallRequest aRequest,
       uint64_t aEpoch,
       CallPhase aStart,
       uint64_t aFirstEvent = 0)
    : mProgram(aProgram)
    , mRequest(std::move(aRequest))
    , mEpoch(aEpoch)
    , mStateMachine(aStart)
    , mEvents(aEpoch, aFirstEvent)
  {
  }

  bool IsModel() const { return mRequest.mKind == wire::CallKind::Model; }

  base::ProgramId mProgram;
  CallRequest mRequest;
  uint64_t mEpoch;
  CallStateMachine mStateMachine;
  EventBuffer mEvents;
  std::vector<Waiter> mWaiters;
  base::TimePoint mDeadline;
  base::TimePoint mReadySince;

  // Admission.
  std::string mRow; // Empty if the call was not admitted here.
  uint64_t mAdmittedTokens = 0;

  // Budget.
  std::string mPrompt;         // Messages of the whole prompt, separated by commas.
  uint64_t mPromptTokens = 0;  // Upper bound.
  uint64_t mAttemptTokens = 0; // Tokens to reserve for one attempt.
  uint64_t mCharged = 0;       // Tokens that earlier attempts may have used.

  Attempt mAttempt;
  bool mPending = false;    // The current attempt was sent and has no outcome.
  bool mMayHaveRun = false; // An earlier attempt may have run, or the current one did.
  bool mIntentFolded =
    false; // Non-idempotent calls: the fold accepted the intent as the first one of its key.
  std::set<std::string> mExcluded; // Targets not to be tried again.
  base::Error mLastError{ base::ErrorKind::NoTarget, "no target of the service is available", "" };

  // The result, once known.
  std::shared_ptr<const TurnText> mResult; // The text of a Turn record, or of an outcome Answered.
  std::optional<wire::LogOutcomeKind> mOutcome;
  uint64_t mUsedTokens = 0;   // Tokens computed by engines, those of lost attempts included.
  uint64_t mServedTokens = 0; // Prompt and answer as counted by the engine.
  bool mAppended = false;     // The record of the result was queued in the ledger.
  bool mFinal = false;        // The outcome Unknown cannot change any more.
  std::shared_ptr<const wire::CallOutcomeT>
    mLateOutcome; // Arrived while Unknown was being recorded.
};

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/error_kind.h"
#include "sycamore/sidecar/call_key.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace sycamore::sidecar {

struct CallBookLimits
{
  size_t mMaxRecords = 8192;                   // Active, finished and sealed calls.
  size_t mMaxOutcomeBytes = size_t{ 8 } << 20; // Stored outcomes; repeatable ones go first.
  size_t mMaxRecentAcked = 4096;               // Non-idempotent ids remembered after their ack.
  size_t mMaxPartitions = 4096;
  // An unacknowledged outcome is discarded for space only if its owner was replaced and it is older
  // than this. Seals of its partition are then answered "unknown".
  base::Millis mAbandonedAge{ 600000 };
};

// The part of a dispatch that decides about its admission.
struct DispatchFacts
{
  CallKey mKey;
  uint64_t mEpoch = 0;
  uint64_t mIncarnation = 0; // The sidecar incarnation that may run it; for non-idempotent calls.
  uint32_t mAttempt = 0;
  bool mRepeatable = true;
};

enum class AdmitDecision : uint8_t
{
  Run,       // New: runs now.
  Replace,   // Runs now; an older attempt of a repeatable call is to be cancelled.
  Refuse,    // Does not run here, now or later.
  Duplicate, // Known; nothing new runs. Tell its present state.
  Ignore,    // Superseded or stale, and "not run" might be untrue: no answer.
};

struct Admission
{
  AdmitDecision mDecision = AdmitDecision::Ignore;
  base::ErrorKind mError = base::ErrorKind::Internal; // For Refuse.
};

enum class RecordState : uint8_t
{
  Queued,
  Running,
  Finished,
  Sealed,
};

// What the book keeps of one call.
struct CallRecord
{
  RecordState mState = RecordState::Queued;
  uint64_t mEpoch = 0; // Highest epoch that dispatched or sealed it.
  uint32_t mAttempt = 0;
  bool mRepeatable = true;
  base::TimePoint mFinishedAt;
  size_t mOutcomeBytes = 0;
  std::shared_ptr<const wire::CallOutcomeT> mOutcome; // Set once finished.
};

enum class SealState : uint8_t
{
  Sealed,   // Not seen, and never will run.
  Queued,   // Will run; its outcome follows.
  Running,  // Its outcome follows.
  Finished, // Its outcome is stored.
  Unknown,  // May have run; nothing more is known.
  NoAnswer, // Stale seal, or no space to remember it.
};

// Decides which calls may run, at most once for non-idempotent ones, and keeps outcomes until they
// are acknowledged. Pure: no clock, no I/O.
class CallBook
{
public:
  CallBook(uint64_t aIncarnation, const CallBookLimits& aLimits);

  // Decides about a dispatch; on Run and Replace the call is recorded as queued.
  Admission Admit(const DispatchFacts& aFacts, base::TimePoint aNow);

  // Requires a recorded call.
  void SetRunning(const CallKey& aKey);

  // Stores the outcome of a recorded call until its ack.
  void Finish(const CallKey& aKey,
              std::shared_ptr<const wire::CallOutcomeT> aOutcome,
              base::TimePoint aNow);

  // The record of a call, or null.
  const CallRecord* Find(const CallKey& aKey) const;

  // Forgets a finished or sealed call. aEpoch is the highest epoch that the sender is known to hold
  // for the partition; an ack with a lower one than the record's is ignored. Returns whether the
  // call was forgotten.
  bool Ack(const CallKey& aKey, uint32_t aAttempt, uint64_t aEpoch);

  // Raises the epoch floor and decides whether the call can still run. aIncarnation is the one that
  // the intent names.
  SealState Seal(const CallKey& aKey, uint64_t aEpoch, uint64_t aIncarnation, base::TimePoint aNow);

  // Dispatches of a lower epoch are refused.
  uint64_t EpochFloor(uint32_t aPartition) const;

  uint64_t Incarnation() const;
  size_t Records() const;
  size_t OutcomeBytes() const;

  // Finished calls whose ack is outstanding.
  size_t UnackedOutcomes() const;

private:
  struct Partition
  {
    uint64_t mFloor = 0;
    bool mForgotOutcome = false; // An unacknowledged outcome was discarded.
  };

  bool RaiseFloor(uint32_t aPartition, uint64_t aEpoch);
  bool MayHaveForgotten(const CallKey& aKey) const;
  std::optional<Admission> CheckNew(const DispatchFacts& aFacts) const;
  Admission AdmitKnown(const DispatchFacts& aFacts, CallRecord& aRecord);
  bool MakeSpace(base::TimePoint aNow);
  bool EvictRepeatable();
  bool EvictAbandoned(base::TimePoint aNow);
  void Erase(std::map<CallKey, CallRecord>::iterator aRecord);
  void RememberAcked(const CallKey& aKey);
  SealState SealUnseen(const CallKey& aKey,
                       uint64_t aEpoch,
                       uint64_t aIncarnation,
                       base::TimePoint aNow);

  uint64_t mIncarnation;
  CallBookLimits mLimits;
  std::map<CallKey, CallRecord> mRecords;
  std::map<uint32_t, Partition> mPartitions;
  std::deque<CallKey> mFinishedRepeatable; // Oldest first; may name records already gone.
  std::set<CallKey> mAcked;
  std::deque<CallKey> mAckedOrder;
  size_t mOutcomeBytes = 0;
  size_t mUnacked = 0;
};

}

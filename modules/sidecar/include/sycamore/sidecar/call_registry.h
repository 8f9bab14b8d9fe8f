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

struct CallRegistryLimits
{
  size_t mMaxRecords = 8192;                   // Active, finished and sealed calls.
  size_t mMaxOutcomeBytes = size_t{ 8 } << 20; // Repeatable outcomes are evicted first.
  size_t mMaxRecentAcked = 4096;               // Non-idempotent calls remembered after their ack.
  size_t mMaxPartitions = 4096;
  // To free space, an unacknowledged outcome of a non-idempotent call is discarded only if its
  // owner was replaced and it is older than this. Later seals of calls of the same partition that
  // have no record are answered "unknown".
  base::Millis mAbandonedAge{ 600000 };
};

// The fields of a dispatch that determine its admission.
struct DispatchFacts
{
  CallKey mKey;
  uint64_t mEpoch = 0;
  uint64_t mIncarnation = 0; // Sidecar incarnation that may run the call, if not repeatable.
  uint32_t mAttempt = 0;
  bool mRepeatable = true;
};

enum class AdmitDecision : uint8_t
{
  Run,       // A new call: queue it.
  Replace,   // Queue it, and cancel the older attempt of this repeatable call.
  Refuse,    // Does not run here, now or later; report it as not run.
  Duplicate, // A known call: run nothing, report its current state.
  Ignore,    // Superseded or stale. No reply: it may have run, so "not run" may be false.
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

// The state that the registry keeps for one call.
struct CallRecord
{
  RecordState mState = RecordState::Queued;
  uint64_t mEpoch = 0; // Highest epoch in which the call was dispatched or sealed.
  uint32_t mAttempt = 0;
  bool mRepeatable = true;
  base::TimePoint mFinishedAt;
  size_t mOutcomeBytes = 0;
  std::shared_ptr<const wire::CallOutcomeT> mOutcome; // Set once finished.
};

enum class SealState : uint8_t
{
  Sealed,   // The call was never received and will never run here.
  Queued,   // The call will run; its outcome is sent when it finishes.
  Running,  // The outcome is sent when the call finishes.
  Finished, // The outcome is stored.
  Unknown,  // The call may have run, but there is no record of it.
  NoAnswer, // The seal is stale, or there is no space to record it.
};

// Decides which dispatched calls may run, runs each non-idempotent call at most once, and keeps
// outcomes until they are acknowledged. Deterministic: reads no clock and does no I/O.
class CallRegistry
{
public:
  CallRegistry(uint64_t aIncarnation, const CallRegistryLimits& aLimits);

  // Decides whether a dispatch runs. On Run and Replace the call is recorded as queued.
  Admission Admit(const DispatchFacts& aFacts, base::TimePoint aNow);

  // Requires a recorded call.
  void SetRunning(const CallKey& aKey);

  // Stores the outcome of a recorded call until it is acknowledged.
  void Finish(const CallKey& aKey,
              std::shared_ptr<const wire::CallOutcomeT> aOutcome,
              base::TimePoint aNow);

  // The record of a call, or null.
  const CallRecord* Find(const CallKey& aKey) const;

  // Removes the record of a finished or sealed call. aEpoch is the highest epoch in which the
  // sender is known to own the partition; an ack with a lower epoch than the record's is ignored.
  // Returns whether the record was removed.
  bool Ack(const CallKey& aKey, uint32_t aAttempt, uint64_t aEpoch);

  // Raises the epoch floor of the partition and, if the call was never received, prevents it from
  // running later. aIncarnation is the sidecar incarnation named in the call's logged intent.
  SealState Seal(const CallKey& aKey, uint64_t aEpoch, uint64_t aIncarnation, base::TimePoint aNow);

  // Lowest epoch of a partition whose dispatches are still accepted.
  uint64_t EpochFloor(uint32_t aPartition) const;

  uint64_t Incarnation() const;
  size_t Records() const;
  size_t OutcomeBytes() const;

  // Number of finished calls that are not acknowledged yet.
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
  CallRegistryLimits mLimits;
  std::map<CallKey, CallRecord> mRecords;
  std::map<uint32_t, Partition> mPartitions;
  std::deque<CallKey> mFinishedRepeatable; // Oldest first; may contain keys of removed records.
  std::set<CallKey> mAcked;
  std::deque<CallKey> mAckedOrder;
  size_t mOutcomeBytes = 0;
  size_t mUnacked = 0;
};

}

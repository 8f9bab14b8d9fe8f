#include "sycamore/sidecar/call_registry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sycamore::sidecar {

using base::ErrorKind;
using base::TimePoint;

CallRegistry::CallRegistry(uint64_t aIncarnation, const CallRegistryLimits& aLimits)
  : mIncarnation(aIncarnation)
  , mLimits(aLimits)
{
}

uint64_t
CallRegistry::Incarnation() const
{
  return mIncarnation;
}

size_t
CallRegistry::Records() const
{
  return mRecords.size();
}

size_t
CallRegistry::OutcomeBytes() const
{
  return mOutcomeBytes;
}

size_t
CallRegistry::UnackedOutcomes() const
{
  return mUnacked;
}

uint64_t
CallRegistry::EpochFloor(uint32_t aPartition) const
{
  const auto found = mPartitions.find(aPartition);
  return found == mPartitions.end() ? 0 : found->second.mFloor;
}

const CallRecord*
CallRegistry::Find(const CallKey& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? nullptr : &found->second;
}

// Returns false if the partition cannot be tracked.
bool
CallRegistry::RaiseFloor(uint32_t aPartition, uint64_t aEpoch)
{
  auto found = mPartitions.find(aPartition);
  if (found == mPartitions.end()) {
    if (mPartitions.size() >= mLimits.mMaxPartitions) {
      return false;
    }
    found = mPartitions.emplace(aPartition, Partition{}).first;
  }
  found->second.mFloor = std::max(found->second.mFloor, aEpoch);
  return true;
}

// Whether a non-idempotent call without a record may have run here before.
bool
CallRegistry::MayHaveForgotten(const CallKey& aKey) const
{
  const auto partition = mPartitions.find(aKey.mProgram.mPartition);
  const bool forgot = partition != mPartitions.end() && partition->second.mForgotOutcome;
  return !aKey.mKey.empty() && (forgot || mAcked.contains(aKey));
}

// Checks a call that has no record. Returns why it must not run, or nothing if it may.
std::optional<Admission>
CallRegistry::CheckNew(const DispatchFacts& aFacts) const
{
  if (aFacts.mRepeatable) {
    return std::nullopt;
  }
  if (aFacts.mKey.mKey.empty()) {
    return Admission{ AdmitDecision::Refuse, ErrorKind::KeyMissing };
  }
  if (mAcked.contains(aFacts.mKey)) {
    return Admission{ AdmitDecision::Ignore };
  }
  if (aFacts.mIncarnation != mIncarnation) {
    return Admission{ AdmitDecision::Refuse, ErrorKind::Fenced };
  }
  return std::nullopt;
}

Admission
CallRegistry::AdmitKnown(const DispatchFacts& aFacts, CallRecord& aRecord)
{
  if (aRecord.mState == RecordState::Sealed) {
    return { AdmitDecision::Refuse, ErrorKind::SealedNotRun };
  }
  if (!aRecord.mRepeatable || !aFacts.mRepeatable) {
    aRecord.mEpoch = std::max(aRecord.mEpoch, aFacts.mEpoch);
    return { AdmitDecision::Duplicate };
  }
  const auto known = std::pair(aRecord.mEpoch, aRecord.mAttempt);
  const auto received = std::pair(aFacts.mEpoch, aFacts.mAttempt);
  if (received < known) {
    return { AdmitDecision::Ignore };
  }
  return { received == known ? AdmitDecision::Duplicate : AdmitDecision::Replace };
}

Admission
CallRegistry::Admit(const DispatchFacts& aFacts, TimePoint aNow)
{
  const uint32_t partition = aFacts.mKey.mProgram.mPartition;
  const auto found = mRecords.find(aFacts.mKey);
  if (aFacts.mEpoch < EpochFloor(partition)) {
    const bool seen = found != mRecords.end() || MayHaveForgotten(aFacts.mKey);
    return { seen ? AdmitDecision::Ignore : AdmitDecision::Refuse, ErrorKind::Fenced };
  }
  if (!RaiseFloor(partition, aFacts.mEpoch)) {
    return { AdmitDecision::Refuse, ErrorKind::Overloaded };
  }
  Admission admission{ AdmitDecision::Run };
  if (found != mRecords.end()) {
    admission = AdmitKnown(aFacts, found->second);
    if (admission.mDecision != AdmitDecision::Replace) {
      return admission;
    }
    Erase(found);
  } else if (const auto refused = CheckNew(aFacts)) {
    return *refused;
  } else if (!MakeSpace(aNow)) {
    return { AdmitDecision::Refuse, ErrorKind::Overloaded };
  }
  CallRecord record;
  record.mEpoch = aFacts.mEpoch;
  record.mAttempt = aFacts.mAttempt;
  record.mRepeatable = aFacts.mRepeatable;
  mRecords.emplace(aFacts.mKey, record);
  return admission;
}

void
CallRegistry::SetRunning(const CallKey& aKey)
{
  const auto found = mRecords.find(aKey);
  assert(found != mRecords.end() && found->second.mState == RecordState::Queued);
  found->second.mState = RecordState::Running;
}

static size_t
OutcomeSize(const wire::CallOutcomeT& aOutcome)
{
  return sizeof(aOutcome) + aOutcome.body.size() + aOutcome.message.size();
}

void
CallRegistry::Finish(const CallKey& aKey,
                     std::shared_ptr<const wire::CallOutcomeT> aOutcome,
                     TimePoint aNow)
{
  const auto found = mRecords.find(aKey);
  assert(found != mRecords.end());
  CallRecord& record = found->second;
  assert(record.mState == RecordState::Queued || record.mState == RecordState::Running);
  record.mState = RecordState::Finished;
  record.mFinishedAt = aNow;
  record.mOutcomeBytes = OutcomeSize(*aOutcome);
  record.mOutcome = std::move(aOutcome);
  mOutcomeBytes += record.mOutcomeBytes;
  ++mUnacked;
  if (record.mRepeatable) {
    mFinishedRepeatable.push_back(aKey);
  }
  while (mOutcomeBytes > mLimits.mMaxOutcomeBytes && EvictRepeatable()) {
  }
}

void
CallRegistry::Erase(std::map<CallKey, CallRecord>::iterator aRecord)
{
  if (aRecord->second.mState == RecordState::Finished) {
    assert(mOutcomeBytes >= aRecord->second.mOutcomeBytes && mUnacked > 0);
    mOutcomeBytes -= aRecord->second.mOutcomeBytes;
    --mUnacked;
  }
  mRecords.erase(aRecord);
}

bool
CallRegistry::Ack(const CallKey& aKey, uint32_t aAttempt, uint64_t aEpoch)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || aEpoch < found->second.mEpoch) {
    return false;
  }
  // The record may be removed below; the floor keeps dispatches of older owners refused.
  RaiseFloor(aKey.mProgram.mPartition, aEpoch);
  const CallRecord& record = found->second;
  const bool settled =
    record.mState == RecordState::Finished || record.mState == RecordState::Sealed;
  if (!settled || (record.mRepeatable && record.mAttempt != aAttempt)) {
    return false;
  }
  if (!record.mRepeatable) {
    RememberAcked(aKey);
  }
  Erase(found);
  return true;
}

void
CallRegistry::RememberAcked(const CallKey& aKey)
{
  if (mAcked.insert(aKey).second) {
    mAckedOrder.push_back(aKey);
  }
  while (mAckedOrder.size() > mLimits.mMaxRecentAcked) {
    mAcked.erase(mAckedOrder.front());
    mAckedOrder.pop_front();
  }
}

// Evicts records until one more fits; false if none may be evicted.
bool
CallRegistry::MakeSpace(TimePoint aNow)
{
  while (mRecords.size() >= mLimits.mMaxRecords || mOutcomeBytes > mLimits.mMaxOutcomeBytes) {
    if (!EvictRepeatable() && !EvictAbandoned(aNow)) {
      return false;
    }
  }
  return true;
}

// Discards the oldest outcome of a repeatable call; its owner can dispatch the call again.
bool
CallRegistry::EvictRepeatable()
{
  while (!mFinishedRepeatable.empty()) {
    const CallKey key = mFinishedRepeatable.front();
    mFinishedRepeatable.pop_front();
    const auto found = mRecords.find(key);
    if (found != mRecords.end() && found->second.mRepeatable &&
        found->second.mState == RecordState::Finished) {
      Erase(found);
      return true;
    }
  }
  return false;
}

// Discards one outcome or seal whose owner was replaced and that has been unacknowledged for
// mAbandonedAge.
bool
CallRegistry::EvictAbandoned(TimePoint aNow)
{
  const auto abandoned = [&](const auto& aEntry) {
    const CallRecord& record = aEntry.second;
    const bool settled =
      record.mState == RecordState::Finished || record.mState == RecordState::Sealed;
    return settled && record.mEpoch < EpochFloor(aEntry.first.mProgram.mPartition) &&
           aNow - record.mFinishedAt >= mLimits.mAbandonedAge;
  };
  const auto found = std::find_if(mRecords.begin(), mRecords.end(), abandoned);
  if (found == mRecords.end()) {
    return false;
  }
  if (found->second.mState == RecordState::Finished) {
    mPartitions[found->first.mProgram.mPartition].mForgotOutcome = true;
  }
  Erase(found);
  return true;
}

SealState
CallRegistry::Seal(const CallKey& aKey, uint64_t aEpoch, uint64_t aIncarnation, TimePoint aNow)
{
  const uint32_t partition = aKey.mProgram.mPartition;
  if (aEpoch < EpochFloor(partition) || !RaiseFloor(partition, aEpoch)) {
    return SealState::NoAnswer;
  }
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end()) {
    return SealUnseen(aKey, aEpoch, aIncarnation, aNow);
  }
  found->second.mEpoch = std::max(found->second.mEpoch, aEpoch);
  switch (found->second.mState) {
    case RecordState::Queued:
      return SealState::Queued;
    case RecordState::Running:
      return SealState::Running;
    case RecordState::Finished:
      return SealState::Finished;
    case RecordState::Sealed:
      break;
  }
  return SealState::Sealed;
}

SealState
CallRegistry::SealUnseen(const CallKey& aKey,
                         uint64_t aEpoch,
                         uint64_t aIncarnation,
                         TimePoint aNow)
{
  if (aIncarnation != mIncarnation || MayHaveForgotten(aKey)) {
    return SealState::Unknown;
  }
  if (!MakeSpace(aNow)) {
    return SealState::NoAnswer;
  }
  CallRecord record;
  record.mState = RecordState::Sealed;
  record.mEpoch = aEpoch;
  record.mRepeatable = false;
  record.mFinishedAt = aNow;
  mRecords.emplace(aKey, record);
  return SealState::Sealed;
}

}

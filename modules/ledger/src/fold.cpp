#include "sycamore/ledger/fold.h"

#include "record_fold.h"

#include <cassert>

namespace sycamore::ledger {

static const wire::LogClaimT*
ClaimOf(const wire::LogBatchT& aBatch)
{
  for (const auto& entry : aBatch.entries) {
    if (entry && entry->record.AsLogClaim() != nullptr) {
      return entry->record.AsLogClaim();
    }
  }
  return nullptr;
}

// Spec: spec/ownership.pml (fold_claim).
static Verdict
ApplyClaim(PartitionState& aState, const wire::LogBatchT& aBatch, const wire::LogClaimT& aClaim)
{
  if (aBatch.entries.size() != 1 || aBatch.sequence != 0 || aClaim.epoch != aBatch.epoch ||
      aClaim.incarnation != aBatch.incarnation) {
    return Verdict::Invalid;
  }
  if (aBatch.epoch == aState.mEpoch && aBatch.incarnation == aState.mOwnerIncarnation) {
    return Verdict::Duplicate;
  }
  if (aBatch.epoch <= aState.mEpoch) {
    return Verdict::NotOwner;
  }
  if (aBatch.epoch != aState.mEpoch + 1) {
    return Verdict::Invalid;
  }
  aState.mEpoch = aBatch.epoch;
  aState.mOwner = aClaim.entry;
  aState.mOwnerIncarnation = aBatch.incarnation;
  aState.mOwnerAddress = aClaim.peer_address;
  aState.mLastSequence = 0;
  return Verdict::Applied;
}

Verdict
ApplyBatch(PartitionState& aState, uint64_t aOffset, const wire::LogBatchT& aBatch)
{
  assert(aOffset >= aState.mNextOffset);
  aState.mNextOffset = aOffset + 1;
  // In the state, incarnation 0 means that the partition was released. No process has it.
  if (aBatch.partition != aState.mPartition || aBatch.incarnation == 0) {
    return Verdict::Invalid;
  }
  if (const wire::LogClaimT* claim = ClaimOf(aBatch)) {
    return ApplyClaim(aState, aBatch, *claim);
  }
  if (aBatch.epoch != aState.mEpoch || aBatch.incarnation != aState.mOwnerIncarnation) {
    return Verdict::NotOwner;
  }
  if (aBatch.sequence <= aState.mLastSequence) {
    return Verdict::Duplicate;
  }
  if (aBatch.sequence != aState.mLastSequence + 1) {
    return Verdict::Invalid;
  }
  aState.mLastSequence = aBatch.sequence;
  return RecordFold(aState, aOffset, aBatch).ApplyAll() ? Verdict::Applied : Verdict::Invalid;
}

}

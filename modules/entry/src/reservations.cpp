#include "reservations.h"

#include "wire_ids.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamore::entry {

Reservations::Reservations(CallRegistry& aCalls,
                           Commits& aCommits,
                           PartitionMap& aPartitions,
                           ProgramRegistry& aPrograms,
                           CallRecorder& aRecorder)
  : mCalls(aCalls)
  , mCommits(aCommits)
  , mPartitions(aPartitions)
  , mPrograms(aPrograms)
  , mRecorder(aRecorder)
{
}

ReserveResult
Reservations::Ensure(Call& aCall, CallRecorder::Done aDone)
{
  const ledger::PartitionState* state = mPartitions.Owned(aCall.mProgram.mPartition);
  if (state == nullptr) {
    return ReserveResult::QueueFull;
  }
  const uint64_t wanted = aCall.mCharged + aCall.mAttemptTokens;
  const uint64_t present = mPrograms.Reserved(*state, aCall.mProgram);
  if (wanted <= present) {
    return ReserveResult::Sufficient;
  }
  const uint64_t increase = wanted - present;
  const uint64_t free = mPrograms.FreeTokens(*state, aCall.mProgram);
  if (increase > free && increase - free > Reclaim(*state, aCall.mProgram, increase - free)) {
    return ReserveResult::OverBudget;
  }
  const bool queued = mRecorder.Reserve(aCall, wanted, increase, std::move(aDone));
  return queued ? ReserveResult::Appended : ReserveResult::QueueFull;
}

// Tokens that LowerReservation would free.
uint64_t
Reservations::Reclaimable(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  const ProgramRuntime* runtime = mPrograms.Find(aId);
  if (runtime == nullptr || runtime->mEnding || runtime->mLoweredReservation ||
      mCalls.AnyInFlight(aId)) {
    return 0;
  }
  const uint64_t reserved = mPrograms.Reserved(aState, aId);
  return reserved - std::min(reserved, runtime->mUnsettledTokens);
}

// Lowers reservations of idle programs that share the budget of aFor, if that frees at least
// aMissing in total. The records precede the dependent reservation in the same stream, so the fold
// applies them first. Returns the freed tokens; 0 if they are too few.
uint64_t
Reservations::Reclaim(const ledger::PartitionState& aState,
                      const base::ProgramId& aFor,
                      uint64_t aMissing)
{
  std::vector<base::ProgramId> others;
  uint64_t total = 0;
  ProgramRegistry::ForEachInTree(
    aState, ledger::BudgetRoot(aState, aFor), [&](const base::ProgramId& aId) {
      if (aId != aFor && total < aMissing && Reclaimable(aState, aId) > 0) {
        others.push_back(aId);
        total += Reclaimable(aState, aId);
      }
    });
  if (total < aMissing) {
    return 0;
  }
  for (const base::ProgramId& id : others) {
    LowerReservation(aState, id);
  }
  return total;
}

void
Reservations::LowerReservation(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  if (Reclaimable(aState, aId) == 0) {
    return;
  }
  ProgramRuntime* runtime = mPrograms.Find(aId);
  wire::LogReservedT record;
  record.program = ToLog(aId);
  record.reserved_tokens = runtime->mUnsettledTokens;
  const uint64_t lowered = record.reserved_tokens;
  const bool queued = mCommits.Append(
    aId.mPartition, wire::MakeEntry(std::move(record)), [this, aId](CommitResult, uint64_t) {
      if (ProgramRuntime* folded = mPrograms.Find(aId)) {
        folded->mLoweredReservation.reset();
      }
    });
  if (queued) {
    runtime->mLoweredReservation = lowered;
  }
}

}

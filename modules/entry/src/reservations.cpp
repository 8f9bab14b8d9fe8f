#include "reservations.h"

#include "wire_ids.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamore::entry {

Reservations::Reservations(CallBook& aCalls,
                           Commits& aCommits,
                           PartitionMap& aPartitions,
                           ProgramBook& aPrograms,
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
    return ReserveResult::NoRoom;
  }
  const uint64_t wanted = aCall.mCharged + aCall.mNeed;
  const uint64_t present = mPrograms.Reserved(*state, aCall.mProgram);
  if (wanted <= present) {
    return ReserveResult::Enough;
  }
  const uint64_t rise = wanted - present;
  const uint64_t free = mPrograms.FreeTokens(*state, aCall.mProgram);
  if (rise > free && rise - free > Reclaim(*state, aCall.mProgram, rise - free)) {
    return ReserveResult::NoBudget;
  }
  const bool queued = mRecorder.Reserve(aCall, wanted, rise, std::move(aDone));
  return queued ? ReserveResult::Appended : ReserveResult::NoRoom;
}

// Tokens that Lower would free.
uint64_t
Reservations::Reclaimable(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  const ProgramRuntime* runtime = mPrograms.Find(aId);
  if (runtime == nullptr || runtime->mEnding || runtime->mLowered || mCalls.AnyInFlight(aId)) {
    return 0;
  }
  const uint64_t reserved = mPrograms.Reserved(aState, aId);
  return reserved - std::min(reserved, runtime->mCarryTokens);
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
  ProgramBook::ForTree(aState, ledger::BudgetRoot(aState, aFor), [&](const base::ProgramId& aId) {
    if (aId != aFor && total < aMissing && Reclaimable(aState, aId) > 0) {
      others.push_back(aId);
      total += Reclaimable(aState, aId);
    }
  });
  if (total < aMissing) {
    return 0;
  }
  for (const base::ProgramId& id : others) {
    Lower(aState, id);
  }
  return total;
}

void
Reservations::Lower(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  if (Reclaimable(aState, aId) == 0) {
    return;
  }
  ProgramRuntime* runtime = mPrograms.Find(aId);
  wire::LogReservedT record;
  record.program = ToLog(aId);
  record.reserved_tokens = runtime->mCarryTokens;
  const uint64_t lowered = record.reserved_tokens;
  const bool queued = mCommits.Append(
    aId.mPartition, wire::MakeEntry(std::move(record)), [this, aId](CommitResult, uint64_t) {
      if (ProgramRuntime* folded = mPrograms.Find(aId)) {
        folded->mLowered.reset();
      }
    });
  if (queued) {
    runtime->mLowered = lowered;
  }
}

}

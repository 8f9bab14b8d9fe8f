#pragma once

#include "call_book.h"
#include "call_recorder.h"
#include "commits.h"
#include "partition_map.h"
#include "program_book.h"

#include <cstdint>

namespace sycamore::entry {

enum class ReserveResult : uint8_t
{
  Enough,   // The durable reservation suffices.
  Appended, // A record is appended; the call goes on after its fold.
  NoBudget, // The budget does not allow it.
  NoRoom,   // The ledger has no room.
};

// Makes sure that the reservation of a call is durable before it is dispatched. Reservations of
// idle programs of the same budget are given back if the budget would not suffice otherwise.
// Spec: spec/budget.pml (reserve).
class Reservations
{
public:
  Reservations(CallBook& aCalls,
               Commits& aCommits,
               PartitionMap& aPartitions,
               ProgramBook& aPrograms,
               CallRecorder& aRecorder);

  // Reserves what earlier attempts of aCall may have used plus one attempt. aDone is called after
  // the fold of an appended record.
  ReserveResult Ensure(Call& aCall, CallRecorder::Done aDone);

  // Gives back what an idle program has reserved and cannot have used.
  void Lower(const ledger::PartitionState& aState, const base::ProgramId& aId);

private:
  uint64_t Reclaimable(const ledger::PartitionState& aState, const base::ProgramId& aId);
  uint64_t Reclaim(const ledger::PartitionState& aState,
                   const base::ProgramId& aFor,
                   uint64_t aMissing);

  CallBook& mCalls;
  Commits& mCommits;
  PartitionMap& mPartitions;
  ProgramBook& mPrograms;
  CallRecorder& mRecorder;
};

}

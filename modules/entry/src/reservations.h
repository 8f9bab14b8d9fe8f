#pragma once

#include "call_recorder.h"
#include "call_registry.h"
#include "commits.h"
#include "partition_map.h"
#include "program_registry.h"

#include <cstdint>

namespace sycamore::entry {

enum class ReserveResult : uint8_t
{
  Sufficient, // The durable reservation suffices.
  Appended,   // A record is appended; aDone is called after its fold.
  OverBudget, // The budget does not allow the reservation.
  QueueFull,  // The ledger's append queue is full.
};

// Makes the reservation of a call durable before the call is dispatched. If the free budget does
// not suffice, reclaims reservations of idle programs that share the budget. Spec: spec/budget.pml
// (reserve).
class Reservations
{
public:
  Reservations(CallRegistry& aCalls,
               Commits& aCommits,
               PartitionMap& aPartitions,
               ProgramRegistry& aPrograms,
               CallRecorder& aRecorder);

  // Reserves the tokens that earlier attempts of aCall may have used, plus those of one attempt. If
  // a record is appended, aDone is called after its fold.
  ReserveResult Ensure(Call& aCall, CallRecorder::Done aDone);

  // Lowers the reservation of an idle program to the tokens that it may already have used.
  void LowerReservation(const ledger::PartitionState& aState, const base::ProgramId& aId);

private:
  uint64_t Reclaimable(const ledger::PartitionState& aState, const base::ProgramId& aId);
  uint64_t Reclaim(const ledger::PartitionState& aState,
                   const base::ProgramId& aFor,
                   uint64_t aMissing);

  CallRegistry& mCalls;
  Commits& mCommits;
  PartitionMap& mPartitions;
  ProgramRegistry& mPrograms;
  CallRecorder& mRecorder;
};

}

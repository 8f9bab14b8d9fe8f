#pragma once

#include "sycamore/ledger/partition_state.h"
#include "sycamore/wire/codec.h"

namespace sycamore::ledger {

// What the fold did with a batch.
enum class Verdict : uint8_t
{
  Applied,
  NotOwner,  // Its epoch or incarnation is not the current one at its offset.
  Duplicate, // Its sequence number was applied before.
  Invalid,   // It contradicts the state; a fault of the writer. Nothing of it is applied.
};

// Applies the batch at aOffset, which must be the state's next offset or higher (retention may have
// removed offsets between), and advances mNextOffset. Pure: depends on the arguments alone.
// Spec: spec/ownership.pml (fold), spec/budget.pml (settle).
Verdict
ApplyBatch(PartitionState& aState, uint64_t aOffset, const wire::LogBatchT& aBatch);

// A checkpoint of aState, to be appended by the owner.
wire::LogCheckpointT
MakeCheckpoint(const PartitionState& aState);

// Restores the state that aCheckpoint describes, as if folded through its offset.
PartitionState
RestoreCheckpoint(uint32_t aPartition, const wire::LogCheckpointT& aCheckpoint);

// The program whose budget aProgram draws on: itself, or the root of its ancestors.
base::ProgramId
BudgetRoot(const PartitionState& aState, const base::ProgramId& aProgram);

// Tokens of the root's budget neither spent nor reserved by the root or its descendants.
uint64_t
FreeTokens(const PartitionState& aState, const base::ProgramId& aRoot);

}

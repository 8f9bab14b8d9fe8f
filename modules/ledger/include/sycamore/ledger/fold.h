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
  Invalid,   // It contradicts the state; a fault of the writer. Nothing of it is applied, but its
             // sequence number is used up, so that the writer's later batches still count.
};

// Applies the batch at aOffset, which must be the state's next offset or higher (retention may have
// removed offsets between), and advances mNextOffset. Pure: depends on the arguments alone.
//
// Sequence numbers of a program: a Turn must carry the next one and advances it. So does the first
// outcome of a non-idempotent call, whether Answered, NotRun or Unknown: the caller's chain goes on
// with the next number after any decision, and a call known as not run is repeated under a new
// number and key. While a call has an intent and no outcome, its program accepts no other call.
// Only Answered calls appear in mTurns; one refined from Unknown is inserted in order.
//
// A second intent for a key makes its batch Invalid: the first intent wins. An outcome that repeats
// the recorded one changes nothing.
//
// An ended program accepts no record but outcomes. Its end ends its sub-agents (reason "parent")
// and counts its remaining reservation as spent, since calls in flight may use it; a writer that
// knows the real use lowers the reservation by a Reserved record first. Repeated ends, rewritten
// turns and outcomes that no longer fit an ended or dropped program change nothing and are valid.
//
// A Checkpoint record drops the programs that ended up to its folded_through and that it leaves
// out, so that this state equals the one restored from it.
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

#pragma once

#include "sycamore/ledger/partition_state.h"
#include "sycamore/wire/codec.h"

namespace sycamore::ledger {

// The result of applying a batch.
enum class Verdict : uint8_t
{
  Applied,
  NotOwner,  // Its epoch or incarnation is not the current one at its offset.
  Duplicate, // Its sequence number was applied before.
  Invalid,   // It contradicts the state, which is a bug of its writer. No entry of it is applied. A
             // correct sequence number is still consumed, so that the writer's later batches apply.
};

// Applies the batch at aOffset, which must be the state's next offset or higher (retention may have
// removed offsets between), and advances mNextOffset. The result depends on the arguments alone.
//
// Sequence numbers of a program: a Turn must carry the next one and advances it. So does the first
// outcome of a non-idempotent call, whether Answered, NotRun or Unknown: after any outcome the
// caller continues with the next number, and it repeats a call that did not run under a new number
// and key. While a call has an intent and no outcome, its program accepts no other call. Only
// Answered calls appear in mTurns. A call whose outcome changes from Unknown to Answered is
// inserted in order.
//
// A second intent for a key makes its batch Invalid and the first stays. An outcome that equals the
// recorded one changes nothing.
//
// An ended program accepts no record but outcomes. Its end ends its sub-agents (reason "parent")
// and counts its remaining reservation as spent, since calls in flight may use it; a writer that
// knows the actual usage lowers the reservation by a Reserved record first. A repeated end, and a
// rewritten turn or outcome for a program that has ended or was dropped, is valid without effect if
// it does not fit the state.
//
// A Checkpoint record drops the programs that it leaves out and that ended at or below its
// folded_through, so that the state equals one restored from that checkpoint.
// Spec: spec/ownership.pml (fold), spec/budget.pml (settle).
Verdict
ApplyBatch(PartitionState& aState, uint64_t aOffset, const wire::LogBatchT& aBatch);

// A checkpoint of aState, to be appended by the owner.
wire::LogCheckpointT
MakeCheckpoint(const PartitionState& aState);

// Restores the state that aCheckpoint describes, as if folded through its offset.
PartitionState
RestoreCheckpoint(uint32_t aPartition, const wire::LogCheckpointT& aCheckpoint);

// The program whose budget aProgram uses: the topmost ancestor, or aProgram itself if it has no
// parent.
base::ProgramId
BudgetRoot(const PartitionState& aState, const base::ProgramId& aProgram);

// Tokens of the root's budget neither spent nor reserved by the root or its descendants.
uint64_t
FreeTokens(const PartitionState& aState, const base::ProgramId& aRoot);

}

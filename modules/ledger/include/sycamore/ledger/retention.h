#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/error_kind.h"
#include "sycamore/ledger/offset_ages.h"
#include "sycamore/ledger/partition_state.h"

#include <cstdint>
#include <vector>

namespace sycamore::ledger {

struct RetentionSettings
{
  base::Millis mRetention{ 0 };                      // Of the log.
  uint64_t mCheckpointBatches = 10000;               // Bounds what a new owner must read.
  uint64_t mCheckpointBytes = uint64_t{ 64 } << 20U; // Likewise in bytes.
};

// The amount written since the last accepted checkpoint was made.
struct SinceCheckpoint
{
  uint64_t mBatches = 0;
  uint64_t mBytes = 0;
  base::Millis mAge{ 0 }; // Since this process made it.
  // False until this process has made one: the age of an earlier owner's checkpoint is unknown.
  bool mAgeKnown = true;
};

// A turn whose text must be appended again before retention drops it.
struct TurnToRewrite
{
  base::ProgramId mProgram;
  TurnIndex mTurn;
};

// Whether the owner must write a checkpoint: after a quarter of the retention period, so that the
// one before it is still retained if this one is delayed, or after enough batches or bytes. A new
// owner must write one at once. Otherwise owners that change more often than a quarter of the
// retention period would never write one; and after PartitionOpened::mHistoryLost, programs created
// before the first checkpoint would be lost again when the next owner opens the partition.
bool
CheckpointDue(const RetentionSettings& aSettings, const SinceCheckpoint& aSince);

// The turns of live programs that are older than half of the retention period or of unknown age,
// oldest first, up to about aMaxBytes of text but at least one. A new owner finds all turns of
// unknown age. It may spread them over a quarter of the retention period, since the previous owner
// rewrote in time as well. With the oldest first, a series of short-lived owners still rewrites
// all.
//
// The owner appends each as a LogTurn with rewritten set and the digest of the index. The text of a
// non-idempotent call that was not rewritten yet lies in two batches: the request at
// KeyState::mIntentOffset, the answer at TurnIndex::mOffset.
std::vector<TurnToRewrite>
TurnsToRewrite(const RetentionSettings& aSettings,
               const PartitionState& aState,
               const OffsetAges& aAges,
               base::TimePoint aNow,
               size_t aMaxBytes);

// Removes from aCheckpoint the programs that ended more than one retention period ago. The fold
// drops them when it applies the checkpoint.
void
TrimEnded(const RetentionSettings& aSettings,
          const OffsetAges& aAges,
          base::TimePoint aNow,
          wire::LogCheckpointT& aCheckpoint);

// The error for a request for aProgram, which is not in aState: ProgramExpired if a checkpoint may
// have dropped it according to its creation offset, else UnknownProgram.
base::ErrorKind
MissingProgramError(const PartitionState& aState, const base::ProgramId& aProgram);

}

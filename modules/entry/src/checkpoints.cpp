#include "checkpoints.h"

#include "sycamore/base/log.h"

#include <memory>
#include <utility>

namespace sycamore::entry {

static constexpr base::Millis kCheckInterval{ 1000 };

// A new owner folds at most about this many batches after the checkpoint.
static constexpr uint64_t kMaxBatches = 2000;

Checkpoints::Checkpoints(Context& aContext,
                         Commits& aCommits,
                         PartitionMap& aPartitions,
                         ProgramBook& aPrograms)
  : mContext(aContext)
  , mCommits(aCommits)
  , mPartitions(aPartitions)
  , mPrograms(aPrograms)
  , mNextCheck(aContext.mStarted)
{
}

void
Checkpoints::OnAcquired(uint32_t aPartition)
{
  const ledger::PartitionState& state = *mPartitions.Owned(aPartition);
  const uint64_t last = state.mCheckpointOffset == ledger::kNoOffset ? 0 : state.mCheckpointOffset;
  // The age of the checkpoint found in the log is not known, so the next one is soon due.
  const base::Millis quarter = mContext.mSettings.mRetention / 4;
  mStatus[aPartition] = Status{ mContext.mNow - quarter / 2, last, false };
  if (state.mCheckpointOffset != ledger::kNoOffset) {
    mContext.mEffects.SetCheckpoint(aPartition, state.mCheckpointOffset);
  }
}

void
Checkpoints::OnLost(uint32_t aPartition)
{
  mStatus.erase(aPartition);
}

bool
Checkpoints::IsDue(const Status& aStatus, const ledger::PartitionState& aState) const
{
  if (aStatus.mAppended || aState.mNextOffset == 0) {
    return false;
  }
  const bool old = mContext.mNow - aStatus.mLast >= mContext.mSettings.mRetention / 4;
  return old || aState.mNextOffset - aStatus.mLastOffset >= kMaxBatches;
}

void
Checkpoints::OnTick()
{
  if (mContext.mNow < mNextCheck) {
    return;
  }
  mNextCheck = mContext.mNow + kCheckInterval;
  for (auto& [partition, status] : mStatus) {
    ledger::PartitionState* state = mPartitions.Owned(partition);
    if (state != nullptr && IsDue(status, *state)) {
      Append(partition, status, *state);
    }
  }
}

void
Checkpoints::Append(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState)
{
  mPrograms.ForEach([&](const base::ProgramId& aId, const ProgramRuntime& aRuntime) {
    const auto program = aState.mPrograms.find(aId);
    if (program != aState.mPrograms.end()) {
      program->second.mElapsed =
        std::chrono::duration_cast<base::Millis>(mContext.mNow - aRuntime.mBorn);
    }
  });
  const auto done = [this, aPartition](CommitResult aResult, uint64_t aOffset) {
    const auto found = mStatus.find(aPartition);
    if (found == mStatus.end() || aResult != CommitResult::Accepted) {
      return;
    }
    found->second = Status{ mContext.mNow, aOffset, false };
    mContext.mEffects.SetCheckpoint(aPartition, aOffset);
    base::Log(base::LogEvent::CheckpointWritten, "partition {} offset {}", aPartition, aOffset);
  };
  aStatus.mAppended =
    mCommits.Append(aPartition, wire::MakeEntry(ledger::MakeCheckpoint(aState)), done);
}

}

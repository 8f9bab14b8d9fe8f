#include "checkpoints.h"

#include "sycamore/base/log.h"
#include "wire_ids.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace sycamore::entry {

static constexpr base::Millis kCheckInterval{ 1000 };

// Minimum bytes of text rewritten per check, so that small partitions finish quickly.
static constexpr uint64_t kMinRewriteBytes = 64 << 10;

// Estimated size of a record without its texts, for the count of bytes since the last checkpoint.
static constexpr uint64_t kRecordBytes = 100;

Checkpoints::Checkpoints(Context& aContext,
                         Commits& aCommits,
                         History& aHistory,
                         PartitionMap& aPartitions,
                         ProgramRegistry& aPrograms)
  : mContext(aContext)
  , mCommits(aCommits)
  , mHistory(aHistory)
  , mPartitions(aPartitions)
  , mPrograms(aPrograms)
  , mNextCheck(aContext.mStarted)
{
}

ledger::RetentionSettings
Checkpoints::Settings() const
{
  ledger::RetentionSettings settings;
  settings.mRetention = mContext.mSettings.mRetention;
  return settings;
}

void
Checkpoints::OnAcquired(uint32_t aPartition)
{
  const ledger::PartitionState& state = *mPartitions.Owned(aPartition);
  mStatus.erase(aPartition);
  Status& status = mStatus.emplace(aPartition, mContext.mSettings.mRetention).first->second;
  status.mAges.Observe(state.mNextOffset, mContext.mNow);
  status.mMadeAt = mContext.mNow;
  // The age of a checkpoint made in an earlier epoch is unknown; the first epoch has no earlier
  // one.
  status.mSince.mAgeKnown = state.mEpoch <= 1;
  if (state.mCheckpointOffset != ledger::kNoOffset) {
    status.mSince.mBatches = state.mNextOffset - state.mCheckpointOffset;
    mContext.mEffects.SetCheckpoint(aPartition, state.mCheckpointOffset);
  }
}

void
Checkpoints::OnLost(uint32_t aPartition)
{
  mStatus.erase(aPartition);
}

static uint64_t
BytesOf(const wire::LogBatchT& aBatch)
{
  uint64_t bytes = 0;
  for (const auto& entry : aBatch.entries) {
    bytes += kRecordBytes;
    if (const auto* turn = entry->record.AsLogTurn()) {
      bytes += turn->request.size() + turn->answer.size();
    } else if (const auto* intent = entry->record.AsLogIntent()) {
      bytes += intent->request.size();
    } else if (const auto* outcome = entry->record.AsLogOutcome()) {
      bytes += outcome->answer.size();
    }
  }
  return bytes;
}

void
Checkpoints::OnBatch(const ledger::BatchRead& aBatch)
{
  const auto found = mStatus.find(aBatch.mPartition);
  if (found != mStatus.end()) {
    ++found->second.mSince.mBatches;
    found->second.mSince.mBytes += BytesOf(*aBatch.mBatch);
  }
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
    if (state != nullptr && !mContext.mDraining && !mPartitions.IsLogFailing(partition)) {
      Check(partition, status, *state);
    }
  }
}

void
Checkpoints::Check(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState)
{
  aStatus.mAges.Observe(aState.mNextOffset, mContext.mNow);
  aStatus.mSince.mAge = std::chrono::duration_cast<base::Millis>(mContext.mNow - aStatus.mMadeAt);
  if (!aStatus.mAppended && ledger::CheckpointDue(Settings(), aStatus.mSince)) {
    Append(aPartition, aStatus, aState);
  }
  Rewrite(aPartition, aStatus, aState);
}

void
Checkpoints::Append(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState)
{
  mPrograms.ForEach([&](const base::ProgramId& aId, const ProgramRuntime& aRuntime) {
    const auto program = aState.mPrograms.find(aId);
    if (program != aState.mPrograms.end()) {
      program->second.mElapsed =
        std::chrono::duration_cast<base::Millis>(mContext.mNow - aRuntime.mCreatedAt);
    }
  });
  wire::LogCheckpointT checkpoint = ledger::MakeCheckpoint(aState);
  ledger::TrimEnded(Settings(), aStatus.mAges, mContext.mNow, checkpoint);
  const auto done = [this, aPartition, made = mContext.mNow](CommitResult aResult,
                                                             uint64_t aOffset) {
    const auto found = mStatus.find(aPartition);
    if (found == mStatus.end() || aResult != CommitResult::Accepted) {
      return;
    }
    found->second.mMadeAt = made;
    found->second.mSince = ledger::SinceCheckpoint{};
    found->second.mAppended = false;
    mContext.mEffects.SetCheckpoint(aPartition, aOffset);
    base::Log(base::LogEvent::CheckpointWritten, "partition {} offset {}", aPartition, aOffset);
  };
  aStatus.mAppended = mCommits.Append(aPartition, wire::MakeEntry(std::move(checkpoint)), done);
}

static uint64_t
TextBytes(const ledger::PartitionState& aState)
{
  uint64_t bytes = 0;
  for (const auto& [id, program] : aState.mPrograms) {
    for (const ledger::TurnIndex& turn : program.mTurns) {
      bytes += program.mEnded ? 0 : turn.mBytes;
    }
  }
  return bytes;
}

// Rewrites texts at a rate that covers the whole partition in an eighth of the retention period,
// which is half of the time available for it.
void
Checkpoints::Rewrite(uint32_t aPartition, Status& aStatus, const ledger::PartitionState& aState)
{
  if (!aStatus.mRewriting.empty()) {
    return;
  }
  const int64_t checks = std::max<int64_t>(1, mContext.mSettings.mRetention / 8 / kCheckInterval);
  const uint64_t bytes =
    std::max<uint64_t>(kMinRewriteBytes, TextBytes(aState) / static_cast<uint64_t>(checks));
  const std::vector<ledger::TurnToRewrite> turns =
    ledger::TurnsToRewrite(Settings(), aState, aStatus.mAges, mContext.mNow, bytes);
  if (turns.empty()) {
    return;
  }
  for (const ledger::TurnToRewrite& turn : turns) {
    aStatus.mRewriting.insert({ turn.mProgram, turn.mTurn.mSeq });
  }
  base::Log(base::LogEvent::HistoryRewritten, "partition {}: {} turns", aPartition, turns.size());
  for (const ledger::TurnToRewrite& turn : turns) {
    const auto done = [this, turn](const base::Result<std::vector<History::TextPtr>>& aTexts) {
      if (base::IsOk(aTexts)) {
        OnText(turn, *base::ValueOf(aTexts).front());
      } else {
        Forget({ turn.mProgram, turn.mTurn.mSeq });
      }
    };
    mHistory.Load(turn.mProgram,
                  { turn.mTurn },
                  aState.mPrograms.at(turn.mProgram).mKeys,
                  done,
                  CacheMode::Bypass);
  }
}

void
Checkpoints::OnText(const ledger::TurnToRewrite& aTurn, const TurnText& aText)
{
  const TurnKey key{ aTurn.mProgram, aTurn.mTurn.mSeq };
  wire::LogTurnT record;
  record.program = ToLog(aTurn.mProgram);
  record.seq = aTurn.mTurn.mSeq;
  record.kind = aTurn.mTurn.mKind;
  record.request_digest = aTurn.mTurn.mRequestDigest;
  record.request = aText.mRequest;
  record.answer = aText.mAnswer;
  record.status = aText.mStatus;
  record.rewritten = true;
  const bool queued = mCommits.Append(aTurn.mProgram.mPartition,
                                      wire::MakeEntry(std::move(record)),
                                      [this, key](CommitResult, uint64_t) { Forget(key); });
  if (!queued) {
    Forget(key);
  }
}

void
Checkpoints::Forget(const TurnKey& aKey)
{
  const auto found = mStatus.find(aKey.first.mPartition);
  if (found != mStatus.end()) {
    found->second.mRewriting.erase(aKey);
  }
}

}

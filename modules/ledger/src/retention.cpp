#include "sycamore/ledger/retention.h"

#include <algorithm>

namespace sycamore::ledger {

bool
CheckpointDue(const RetentionSettings& aSettings, const SinceCheckpoint& aSince)
{
  return !aSince.mAgeKnown || aSince.mAge >= aSettings.mRetention / 4 ||
         aSince.mBatches >= aSettings.mCheckpointBatches ||
         aSince.mBytes >= aSettings.mCheckpointBytes;
}

static std::vector<TurnToRewrite>
TurnsBelow(const PartitionState& aState, uint64_t aOffset)
{
  std::vector<TurnToRewrite> turns;
  for (const auto& [id, program] : aState.mPrograms) {
    if (program.mEnded) {
      continue;
    }
    for (const TurnIndex& turn : program.mTurns) {
      if (turn.mOffset < aOffset) {
        turns.push_back({ id, turn });
      }
    }
  }
  return turns;
}

std::vector<TurnToRewrite>
TurnsToRewrite(const RetentionSettings& aSettings,
               const PartitionState& aState,
               const OffsetAges& aAges,
               base::TimePoint aNow,
               size_t aMaxBytes)
{
  std::vector<TurnToRewrite> turns =
    TurnsBelow(aState, aAges.YoungFrom(aSettings.mRetention / 2, aNow));
  std::stable_sort(turns.begin(), turns.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTurn.mOffset < aRight.mTurn.mOffset;
  });
  size_t bytes = 0;
  const auto end = std::find_if(turns.begin(), turns.end(), [&](const TurnToRewrite& aTurn) {
    const bool full = bytes >= aMaxBytes && bytes > 0;
    bytes += std::max<size_t>(aTurn.mTurn.mBytes, 1);
    return full;
  });
  turns.erase(end, turns.end());
  return turns;
}

void
TrimEnded(const RetentionSettings& aSettings,
          const OffsetAges& aAges,
          base::TimePoint aNow,
          wire::LogCheckpointT& aCheckpoint)
{
  const uint64_t oldBelow = aAges.OldBelow(aSettings.mRetention, aNow);
  std::erase_if(aCheckpoint.programs, [oldBelow](const auto& aProgram) {
    return aProgram->ended && aProgram->ended_offset < oldBelow;
  });
}

base::ErrorKind
MissingProgramError(const PartitionState& aState, const base::ProgramId& aProgram)
{
  const bool maybeDropped =
    aState.mCheckpointOffset != kNoOffset && aProgram.mCreationOffset < aState.mCheckpointOffset;
  return maybeDropped ? base::ErrorKind::ProgramExpired : base::ErrorKind::UnknownProgram;
}

}

#pragma once

#include "commits.h"
#include "context.h"
#include "history.h"
#include "partition_map.h"
#include "program_registry.h"
#include "sycamore/ledger/retention.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace sycamore::entry {

// Keeps the owned partitions recoverable: appends checkpoints, and appends the texts of old turns
// again before the log's retention deletes them (docs/design.md, section 3.2).
class Checkpoints
{
public:
  Checkpoints(Context& aContext,
              Commits& aCommits,
              History& aHistory,
              PartitionMap& aPartitions,
              ProgramRegistry& aPrograms);

  void OnAcquired(uint32_t aPartition);
  void OnLost(uint32_t aPartition);

  // A batch of an owned partition was folded.
  void OnBatch(const ledger::BatchRead& aBatch);

  void OnTick();

private:
  using TurnKey = std::pair<base::ProgramId, uint32_t>;

  struct Status
  {
    explicit Status(base::Millis aRetention)
      : mAges(aRetention)
    {
    }

    ledger::OffsetAges mAges;
    ledger::SinceCheckpoint mSince;
    base::TimePoint mMadeAt; // When the last checkpoint was made.
    bool mAppended = false;
    std::set<TurnKey> mRewriting;
  };

  ledger::RetentionSettings Settings() const;
  void Check(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState);
  void Append(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState);
  void Rewrite(uint32_t aPartition, Status& aStatus, const ledger::PartitionState& aState);
  void OnText(const ledger::TurnToRewrite& aTurn, const TurnText& aText);
  void Forget(const TurnKey& aKey);

  Context& mContext;
  Commits& mCommits;
  History& mHistory;
  PartitionMap& mPartitions;
  ProgramRegistry& mPrograms;
  std::map<uint32_t, Status> mStatus;
  base::TimePoint mNextCheck;
};

}

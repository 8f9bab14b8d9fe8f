#pragma once

#include "commits.h"
#include "context.h"
#include "partition_map.h"
#include "program_book.h"

#include <cstdint>
#include <map>

namespace sycamore::entry {

// Appends checkpoints of the owned partitions, so that a new owner reads little and retention drops
// nothing that is needed.
class Checkpoints
{
public:
  Checkpoints(Context& aContext,
              Commits& aCommits,
              PartitionMap& aPartitions,
              ProgramBook& aPrograms);

  void OnAcquired(uint32_t aPartition);
  void OnLost(uint32_t aPartition);
  void OnTick();

private:
  struct Status
  {
    base::TimePoint mLast;
    uint64_t mLastOffset = 0;
    bool mAppended = false;
  };

  bool IsDue(const Status& aStatus, const ledger::PartitionState& aState) const;
  void Append(uint32_t aPartition, Status& aStatus, ledger::PartitionState& aState);

  Context& mContext;
  Commits& mCommits;
  PartitionMap& mPartitions;
  ProgramBook& mPrograms;
  std::map<uint32_t, Status> mStatus;
  base::TimePoint mNextCheck;
};

}

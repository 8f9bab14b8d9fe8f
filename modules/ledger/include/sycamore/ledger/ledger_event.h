#pragma once

#include "sycamore/base/result.h"
#include "sycamore/ledger/partition_state.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::ledger {

// A partition was read up to the head of its stream. Answers Ledger::Open.
struct PartitionOpened
{
  std::shared_ptr<PartitionState> mState;
  // Retention dropped records before any retained checkpoint covered them. The state then holds no
  // programs: those created below its next offset are expired. Its epoch is at least that of every
  // claim so far, so old owners stay excluded.
  bool mHistoryLost = false;
};

// A batch that follows the last one reported for its partition, of this writer or another. The
// receiver folds it. mOperationIds are those of the entries of this process's own batch.
struct BatchRead
{
  uint32_t mPartition = 0;
  uint64_t mOffset = 0;
  std::shared_ptr<const wire::LogBatchT> mBatch;
  std::vector<uint64_t> mOperationIds;
};

// Appends or reads of the partition fail at present; entries are kept and tried again.
struct LogAccessFailed
{
  uint32_t mPartition = 0;
  std::string mMessage;
  // Retention dropped records that this process has not read, so its state is incomplete. Nothing
  // is tried again: the receiver gives up the partition and opens it anew.
  bool mMustReopen = false;
};

// The answer to Ledger::ReadTurn.
struct TurnRead
{
  uint64_t mOperationId = 0;
  base::Result<wire::LogTurnT> mTurn;
};

using LedgerEvent = std::variant<PartitionOpened, BatchRead, LogAccessFailed, TurnRead>;

}

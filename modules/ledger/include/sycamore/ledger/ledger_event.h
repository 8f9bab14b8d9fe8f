#pragma once

#include "sycamore/base/result.h"
#include "sycamore/ledger/partition_state.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::ledger {

// A partition was read up to the head of its stream. Completes Ledger::Open.
struct PartitionOpened
{
  std::shared_ptr<PartitionState> mState;
  // Retention dropped records that no retained checkpoint covers. The state then holds no programs:
  // those created below its next offset are expired. Its epoch is at least that of every claim so
  // far, so earlier owners stay fenced.
  bool mHistoryLost = false;
};

// The next batch of a partition's stream, written by this process or another. The receiver folds
// it. mOperationIds are those of its entries; empty for a batch of another process.
struct BatchRead
{
  uint32_t mPartition = 0;
  uint64_t mOffset = 0;
  std::shared_ptr<const wire::LogBatchT> mBatch;
  std::vector<uint64_t> mOperationIds;
};

// An append to or a read of the partition's stream failed. Queued entries are kept and the
// operation is retried.
struct LogAccessFailed
{
  uint32_t mPartition = 0;
  std::string mMessage;
  // Retention dropped records that this process has not read, so its state is incomplete. Nothing
  // is retried: the receiver must give up the partition and open it again.
  bool mMustReopen = false;
};

// The result of Ledger::ReadTurn.
struct TurnRead
{
  uint64_t mOperationId = 0;
  base::Result<wire::LogTurnT> mTurn;
};

using LedgerEvent = std::variant<PartitionOpened, BatchRead, LogAccessFailed, TurnRead>;

}

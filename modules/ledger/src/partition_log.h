#pragma once

#include "batch_writer.h"
#include "sycamore/base/clock.h"
#include "sycamore/ledger/partition_state.h"

#include <deque>
#include <memory>
#include <optional>

namespace sycamore::ledger {

struct QueuedEntry
{
  wire::LogEntryT mEntry;
  uint64_t mOperationId = 0;
  size_t mBytes = 0;
};

// The Ledger's state of one partition. Guarded by Ledger::Impl::mMutex.
struct PartitionLog
{
  uint64_t mGeneration = 0; // Advances on Open and Abandon; results of earlier ones are dropped.
  bool mOpen = false;
  bool mSuperseded = false; // A newer claim of another process was read; nothing is appended.
  uint64_t mNextOffset = 0; // The first offset not yet reported to the sink.
  uint64_t mEpoch = 0;      // Of the last Claim; 0 if none.
  uint64_t mNextSequence = 0;
  uint64_t mCheckpoint = kNoOffset;
  std::deque<QueuedEntry> mQueue;
  std::shared_ptr<OutstandingBatch> mOutstanding;
  base::TimePoint mNotBefore; // Earliest time of the next append, after the window or a back-off.
  int mFailures = 0;          // Consecutive failed attempts.

  // Whether a batch is outstanding or could be formed.
  bool HasWork() const { return mOpen && !mSuperseded && (mOutstanding || !mQueue.empty()); }

  // Whether further entries may be queued.
  bool Accepts() const { return mOpen && !mSuperseded && mEpoch != 0; }
};

}

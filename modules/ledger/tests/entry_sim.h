#pragma once

#include "../src/batch_writer.h"
#include "fake_log.h"
#include "records.h"

#include <memory>
#include <optional>
#include <string>

namespace sycamore::ledger::testing {

// The log side of one entry of the Promela models, without threads: the real BatchWriter appends to
// a log with faults and the real fold keeps the view.
class EntrySim
{
public:
  EntrySim(FakeLog& aLog, uint64_t aIncarnation);

  const PartitionState& View() const { return mView; }
  uint64_t Incarnation() const { return mIncarnation; }

  // Whether this entry believes that it owns the partition and has nothing outstanding.
  bool Owner() const { return !mOut && mView.mOwnerIncarnation == mIncarnation; }

  // Offset of this entry's last accepted claim. What lies below was written by earlier owners.
  uint64_t ClaimOffset() const { return mClaimOffset; }

  // Claims the next epoch unless this entry believes that it owns the partition.
  void Claim();

  // Makes aEntry the outstanding batch. Requires Owner().
  void Propose(LogEntryT aEntry);

  // One attempt to write the outstanding batch under aFault. Returns the verdict of the batch once
  // it was read back.
  std::optional<Verdict> Write(AppendFault aFault);

  // The view before the last accepted claim of this entry.
  const PartitionState& Inherited() const { return mInherited; }

private:
  const uint64_t mIncarnation;
  FakeLog& mLog;
  std::unique_ptr<platform::LogClient> mClient;
  std::atomic<uint64_t> mAppends{ 0 };
  BatchWriter mWriter;
  PartitionState mView;
  PartitionState mInherited;
  uint64_t mClaimOffset = 0;
  std::optional<OutstandingBatch> mOut;
};

}

#pragma once

#include "../src/batch_writer.h"
#include "fake_log.h"
#include "records.h"

#include <memory>
#include <optional>
#include <string>

namespace sycamore::ledger::testing {

// One entry's log access in the Promela models, without threads: the production BatchWriter appends
// to a log with faults, and the production fold computes the entry's view.
class EntrySim
{
public:
  EntrySim(FakeLog& aLog, uint64_t aIncarnation);

  const PartitionState& View() const { return mView; }
  uint64_t Incarnation() const { return mIncarnation; }

  // Whether this entry owns the partition in its own view and has no batch outstanding.
  bool Owner() const { return !mOut && mView.mOwnerIncarnation == mIncarnation; }

  // Offset of this entry's last accepted claim. Records below it were written by earlier owners.
  uint64_t ClaimOffset() const { return mClaimOffset; }

  // Makes a claim of the next epoch the outstanding batch, unless there is one or this entry owns
  // the partition in its own view.
  void Claim();

  // Makes aEntry the outstanding batch. Requires Owner().
  void Propose(LogEntryT aEntry);

  // Makes one attempt to write the outstanding batch under aFault. Returns the verdict of the batch
  // once it was read back.
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

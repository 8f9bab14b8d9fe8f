#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/ledger/ledger_event.h"
#include "sycamore/platform/log_client.h"

#include <functional>
#include <memory>

namespace sycamore::ledger {

struct LedgerSettings
{
  std::string mStreamPrefix = "partition-"; // Followed by two digits at least.
  base::Millis mWindowMin{ 20 };
  base::Millis mWindowMax{ 1000 };
  double mAppendsPerSecond = 300;              // Of all owners together.
  size_t mMaxPendingBytes = size_t{ 8 } << 20; // Entries accepted and not yet in the log.
  base::Millis mRetryMin{ 100 };
  base::Millis mRetryMax{ 2000 };
};

// Group commit and reading of partition streams. One thread appends, another reads for Open and
// ReadTurn. At most one batch of a partition is outstanding; an append whose answer was lost is
// read back before it is repeated (docs/design.md, section 3.2).
class Ledger
{
public:
  // aMakeClient makes a client per thread. aSink receives events on the ledger's threads; per
  // partition in offset order. It must not block; if it returns false the event is offered again.
  Ledger(const LedgerSettings& aSettings,
         uint64_t aIncarnation,
         std::function<std::unique_ptr<platform::LogClient>()> aMakeClient,
         std::function<bool(LedgerEvent)> aSink);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  // Abandons aPartition, then reads it from its newest checkpoint to its head and reports
  // PartitionOpened. BatchRead events that arrive between are of the time before and must be
  // dropped. If the checkpoint that the last batch names was dropped by retention, all retained
  // records are read for the newest other one; see PartitionOpened::mHistoryLost if none is left.
  void Open(uint32_t aPartition);

  // Starts a new epoch of this writer: the next batch of aPartition holds aClaim alone, with
  // sequence number 0. Requires that PartitionOpened or every BatchRead so far was folded by the
  // caller. Drops what is queued under an earlier epoch. Returns false if the partition is not
  // open.
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId);

  // Queues an entry for the next batch of aPartition under the epoch of the last Claim. Returns
  // false if mMaxPendingBytes would be exceeded, or if the partition is not open and claimed;
  // nothing is queued then. After a BatchRead with a newer claim of another process nothing more is
  // appended; the caller finds that claim in its fold and calls Abandon.
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId);

  // Drops what is queued for aPartition and stops following it; an outstanding append may still
  // take effect in the log. Call on losing ownership.
  void Abandon(uint32_t aPartition);

  // Reads the LogTurn of aProgram and aSeq from the batch at aOffset and reports TurnRead. For a
  // non-idempotent call the turn is made of what the batch holds: the answer if aOffset is that of
  // its outcome (TurnIndex::mOffset), the request if it is KeyState::mIntentOffset; both once the
  // turn was rewritten. Errors: LogUnavailable; CallNotFound if retention dropped the batch.
  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aOperationId);

  // Sets the number of partitions that have an owner anywhere, from which the window follows.
  void SetLivePartitions(uint32_t aCount);

  // Sets the checkpoint that later batches refer to.
  void SetCheckpoint(uint32_t aPartition, uint64_t aOffset);

  // Bytes accepted and not yet known to be in the log.
  size_t PendingBytes() const;

  // Number of append requests sent so far.
  uint64_t AppendsSent() const;

  // Joins the threads; queued entries that are not in the log are dropped. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/ledger/ledger_event.h"
#include "sycamore/platform/log_client.h"

#include <functional>
#include <memory>

namespace sycamore::ledger {

struct LedgerSettings
{
  std::string mStreamPrefix =
    "partition-"; // Followed by the partition number, at least two digits.
  base::Millis mWindowMin{ 20 };
  base::Millis mWindowMax{ 1000 };
  double mAppendsPerSecond = 300;              // Limit for all owners together.
  size_t mMaxPendingBytes = size_t{ 8 } << 20; // Entries accepted and not yet in the log.
  base::Millis mRetryMin{ 100 };
  base::Millis mRetryMax{ 2000 };
};

// Appends entries to partition streams with group commit, and reads the streams. One thread
// appends, another reads for Open and ReadTurn. A partition has at most one outstanding batch. If
// the reply to an append was lost, the stream is read back before the append is repeated
// (docs/design.md, section 3.2).
class Ledger
{
public:
  // aMakeClient makes a client for each thread. aSink receives events on the ledger's threads,
  // those of a partition in offset order. It must not block; if it returns false, the event is
  // delivered again later.
  Ledger(const LedgerSettings& aSettings,
         uint64_t aIncarnation,
         std::function<std::unique_ptr<platform::LogClient>()> aMakeClient,
         std::function<bool(LedgerEvent)> aSink);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  // Abandons aPartition, then reads it from its newest checkpoint to its head and reports
  // PartitionOpened. The receiver must drop BatchRead events of the partition that arrive before
  // that: they precede this call. If retention dropped the checkpoint that the last batch names,
  // all retained records are searched for the newest other checkpoint; see
  // PartitionOpened::mHistoryLost if there is none.
  void Open(uint32_t aPartition);

  // Starts a new epoch of this writer: the next batch of aPartition contains only aClaim and has
  // sequence number 0. Requires that the caller has folded PartitionOpened or every BatchRead so
  // far. Drops entries queued under an earlier epoch. aOperationId is returned in the BatchRead of
  // the claim. Returns false if the partition is not open.
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId);

  // Queues an entry for the next batch of aPartition under the epoch of the last Claim.
  // aOperationId is returned in the BatchRead of that batch. Returns false and queues nothing if
  // mMaxPendingBytes would be exceeded, or if the partition is not open and claimed. After a
  // BatchRead with a newer claim of another process nothing more is appended; the caller finds that
  // claim in its fold and calls Abandon.
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId);

  // Drops the entries queued for aPartition and stops reading it; an outstanding append may still
  // take effect in the log. Call after losing ownership.
  void Abandon(uint32_t aPartition);

  // Reads the LogTurn of aProgram and aSeq from the batch at aOffset and reports TurnRead with
  // aOperationId. For a non-idempotent call the turn has only the parts in that batch: the answer
  // at the offset of the outcome (TurnIndex::mOffset), the request at KeyState::mIntentOffset, and
  // both once the turn was rewritten. Errors: LogUnavailable; CallNotFound if retention dropped the
  // batch.
  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aOperationId);

  // Sets the number of partitions that have an owner in any process. The time between the appends
  // of a partition follows from it.
  void SetLivePartitions(uint32_t aCount);

  // Sets the checkpoint offset that later batches of aPartition name.
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

#pragma once

#include "sycamore/ledger/fold.h"
#include "sycamore/ledger/ledger_event.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace sycamore::entry::testing {

// A simulated log with one stream per partition, shared by the entries of a test.
class SimLog
{
public:
  using Batch = std::shared_ptr<const wire::LogBatchT>;

  uint64_t Append(uint32_t aPartition, wire::LogBatchT aBatch);
  const std::vector<Batch>& Stream(uint32_t aPartition) { return mStreams[aPartition]; }

  // The state after all batches of the stream.
  ledger::PartitionState Fold(uint32_t aPartition);

  // The result that Ledger::ReadTurn reports.
  base::Result<wire::LogTurnT> ReadTurn(uint32_t aPartition,
                                        uint64_t aOffset,
                                        const base::ProgramId& aProgram,
                                        uint32_t aSeq);

  bool mDown = false; // Simulates an outage.

private:
  std::map<uint32_t, std::vector<Batch>> mStreams;
};

// The ledger of one simulated entry. Flush appends the queued records to the log.
class SimLedger
{
public:
  SimLedger(SimLog& aLog, uint64_t aIncarnation);

  void Open(uint32_t aPartition);
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aTicket);
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aTicket);
  void Abandon(uint32_t aPartition);
  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aTicket);

  // Appends the queued records and reports the new batches of the streams; does neither while the
  // log is down.
  void Flush();

  std::vector<ledger::LedgerEvent> TakeEvents();

  size_t mPendingBytes = 0;
  bool mFull = false;   // Refuses appends.
  bool mPaused = false; // Neither appends nor reads.

private:
  struct Follower
  {
    uint64_t mNext = 0;
    uint64_t mEpoch = 0;
    uint64_t mSequence = 0;
    wire::LogBatchT mQueued;
    std::vector<uint64_t> mTickets;
  };

  void FlushPartition(uint32_t aPartition, Follower& aFollower);

  SimLog& mLog;
  uint64_t mIncarnation;
  std::map<uint32_t, Follower> mFollowers;
  std::vector<uint32_t> mOpening;
  std::vector<ledger::LedgerEvent> mEvents;
};

}

#pragma once

#include "sycamore/ledger/fold.h"
#include "sycamore/ledger/ledger_event.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace sycamore::entry::testing {

// The partition streams of a simulated log, shared by the entries of a test.
class SimLog
{
public:
  using Batch = std::shared_ptr<const wire::LogBatchT>;

  uint64_t Append(uint32_t aPartition, wire::LogBatchT aBatch);
  const std::vector<Batch>& Stream(uint32_t aPartition) { return mStreams[aPartition]; }

  // The fold of the whole stream.
  ledger::PartitionState Fold(uint32_t aPartition);

  // What Ledger::ReadTurn reports.
  base::Result<wire::LogTurnT> ReadTurn(uint32_t aPartition,
                                        uint64_t aOffset,
                                        const base::ProgramId& aProgram,
                                        uint32_t aSeq);

  bool mDown = false;

private:
  std::map<uint32_t, std::vector<Batch>> mStreams;
};

// The ledger of one simulated entry. Queued entries reach the log when Flush is called.
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

  // Appends what is queued, unless the log is down, and reports what is new in the streams.
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

  void FlushOne(uint32_t aPartition, Follower& aFollower);

  SimLog& mLog;
  uint64_t mIncarnation;
  std::map<uint32_t, Follower> mFollowers;
  std::vector<uint32_t> mOpening;
  std::vector<ledger::LedgerEvent> mEvents;
};

}

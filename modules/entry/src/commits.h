#pragma once

#include "context.h"
#include "sycamore/ledger/fold.h"
#include "sycamore/ledger/ledger_event.h"

#include <cstdint>
#include <functional>
#include <map>

namespace sycamore::entry {

enum class CommitResult : uint8_t
{
  Accepted, // The fold accepted the record.
  Lost,     // The fold ignored it, or ownership was lost. It may be in the log without effect.
};

// Tracks the records that this entry appended and that are not folded yet. A record is folded when
// it has been read back from the log and applied to the partition's state, which accepts or ignores
// it. The result of each record is reported exactly once.
class Commits
{
public:
  // Called after the fold; the offset is that of the batch.
  using Done = std::function<void(CommitResult, uint64_t)>;

  explicit Commits(Context& aContext);

  // Queues a record. Returns false, and never calls aDone, if the ledger's append queue is full.
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, Done aDone);

  // Like Append, for a claim.
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, Done aDone);

  // Reports the records of a folded batch.
  void OnFolded(const ledger::BatchRead& aBatch, ledger::Verdict aVerdict);

  // Reports all outstanding records of aPartition as lost.
  void ReportLost(uint32_t aPartition);

  // Whether a record of aPartition is outstanding.
  bool AnyOutstanding(uint32_t aPartition) const;

private:
  struct Waiting
  {
    uint32_t mPartition = 0;
    Done mDone;
  };

  Context& mContext;
  uint64_t mNextOperationId = 1;
  std::map<uint64_t, Waiting> mWaiting;
};

}

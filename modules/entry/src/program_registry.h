#pragma once

#include "context.h"
#include "sycamore/ledger/fold.h"
#include "sycamore/policy/size_estimate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace sycamore::entry {

// In-memory state of a program at its owner, beyond what the log holds.
struct ProgramRuntime
{
  base::TimePoint mCreatedAt;  // Now minus the program's age, which a new owner takes from the log.
  base::TimePoint mLastActive; // When a call was last accepted or finished.
  bool mEnding = false;        // A ProgramEnded record is appended; only outcomes may follow it.
  uint64_t mUnsettledTokens = 0; // Possibly used by failed calls; settled with the next call.
  uint64_t mNextEvent = 0;       // Index of the next call's first event.
  // The reservation after an appended record that lowers it, until that record is folded.
  std::optional<uint64_t> mLoweredReservation;
};

// The live programs of the partitions owned here, and the budget tokens claimed by records that are
// appended and not folded.
class ProgramRegistry
{
public:
  explicit ProgramRegistry(Context& aContext);

  // Restores the programs of a partition after a claim. aReleased is true if the previous owner
  // released the partition, and so had no call in flight.
  void OnAcquired(const ledger::PartitionState& aState, bool aReleased);
  void OnLost(uint32_t aPartition);

  ProgramRuntime& Add(const base::ProgramId& aId);
  // Adds the tokens spent by an ended program to the statistics behind ExpectedRemainingTokens.
  void NoteSize(const ledger::ProgramState& aProgram);

  // Tokens that the program is expected to use from now on, estimated from the programs of its
  // account that ended here. Sub-agents have statistics of their own.
  uint64_t ExpectedRemainingTokens(const ledger::ProgramState& aProgram) const;

  // Null if the program is not live here.
  ProgramRuntime* Find(const base::ProgramId& aId);
  void Remove(const base::ProgramId& aId);
  size_t Size() const { return mPrograms.size(); }
  void ForEach(
    const std::function<void(const base::ProgramId&, const ProgramRuntime&)>& aFunction) const;

  // Whether the program or one of its ancestors is ending or has ended.
  bool IsEnding(const ledger::PartitionState& aState, const base::ProgramId& aId);

  // The reservation of aId that a call may use: an appended record that lowers it counts already.
  uint64_t Reserved(const ledger::PartitionState& aState, const base::ProgramId& aId);

  // Tokens that a new record may reserve for aId in addition to its current reservation.
  uint64_t FreeTokens(const ledger::PartitionState& aState, const base::ProgramId& aId) const;

  // Call AddPending when a record is appended that raises the spent plus reserved tokens of the
  // tree of aRoot by aTokens, and RemovePending when that record is folded or lost.
  void AddPending(const base::ProgramId& aRoot, uint64_t aTokens);
  void RemovePending(const base::ProgramId& aRoot, uint64_t aTokens);

  // Calls aFunction for aId and the live sub-agents below it.
  static void ForEachInTree(const ledger::PartitionState& aState,
                            const base::ProgramId& aId,
                            const std::function<void(const base::ProgramId&)>& aFunction);

private:
  Context& mContext;
  std::map<base::ProgramId, ProgramRuntime> mPrograms;
  std::map<base::ProgramId, uint64_t> mPending; // By root.
  // By account and whether the program is a sub-agent. Accounts come from the table, which bounds
  // their number.
  std::map<std::pair<std::string, bool>, policy::SizeEstimate> mSizes;
};

}

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

// What the owner knows of a program beyond the log.
struct ProgramRuntime
{
  base::TimePoint mBorn;     // Now minus the program's age; a new owner restores it.
  base::TimePoint mActive;   // Last acceptance or end of a call.
  bool mEnding = false;      // An end is appended; no other record may follow but outcomes.
  uint64_t mCarryTokens = 0; // Possibly used by calls that failed; settled with the next one.
  uint64_t mNextEvent = 0;   // Index of the next call's first event.
  // Reservation after an appended record that lowers it.
  std::optional<uint64_t> mLowered;
};

// The programs of the partitions owned here, with the budget that records on the way to the log
// already take.
class ProgramBook
{
public:
  explicit ProgramBook(Context& aContext);

  // Restores the programs of a partition after a claim. aReleased tells that the former owner had
  // no call in flight.
  void OnAcquired(const ledger::PartitionState& aState, bool aReleased);
  void OnLost(uint32_t aPartition);

  ProgramRuntime& Add(const base::ProgramId& aId);
  // Notes the size of a program that ends, for ExpectedRest of others.
  void NoteSize(const ledger::ProgramState& aProgram);

  // Tokens that the program is expected to need from now on, by the programs of its account that
  // ended here; sub-agents apart.
  uint64_t ExpectedRest(const ledger::ProgramState& aProgram) const;

  // Null if the program is not live here.
  ProgramRuntime* Find(const base::ProgramId& aId);
  void Remove(const base::ProgramId& aId);
  size_t Size() const { return mPrograms.size(); }
  void ForEach(
    const std::function<void(const base::ProgramId&, const ProgramRuntime&)>& aFunction) const;

  // Whether the program or one of its ancestors is ending or has ended.
  bool IsEnding(const ledger::PartitionState& aState, const base::ProgramId& aId);

  // The reservation of aId that a call may rely on.
  uint64_t Reserved(const ledger::PartitionState& aState, const base::ProgramId& aId);

  // Tokens that a new record may reserve for aId beyond its present reservation.
  uint64_t FreeTokens(const ledger::PartitionState& aState, const base::ProgramId& aId) const;

  // A record that raises spent and reserved tokens of the tree of aRoot by aTokens was appended,
  // or was folded or lost.
  void AddPending(const base::ProgramId& aRoot, uint64_t aTokens);
  void RemovePending(const base::ProgramId& aRoot, uint64_t aTokens);

  // aId and the live sub-agents below it.
  static void ForTree(const ledger::PartitionState& aState,
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

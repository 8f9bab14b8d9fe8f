#pragma once

#include "records.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace sycamore::ledger::testing {

// One step of a simulated run: selects an action and its argument.
struct SimStep
{
  uint32_t mAction = 0;
  uint32_t mArgument = 0;
};

// Simulates two owners, which follow the protocol, and one log in a single thread. Each owner folds
// what it has read and appends batches that are valid in its view. Appends may be delayed, repeated
// or overtaken by those of the other owner, as after pauses and lost replies. Spec:
// spec/ownership.pml.
class OwnerSim
{
public:
  struct Appended
  {
    wire::LogBatchT mBatch;
    Verdict mVerdict = Verdict::Applied;
  };

  OwnerSim();

  void Run(const SimStep& aStep);

  const PartitionState& Fold() const { return mFold; }
  const std::vector<Appended>& Log() const { return mLog; }

private:
  struct Writer
  {
    uint64_t mIncarnation = 0;
    PartitionState mView;                        // Folded up to mView.mNextOffset.
    std::optional<wire::LogBatchT> mOutstanding; // Sent, and not yet read back.
  };

  void Append(const wire::LogBatchT& aBatch);
  void Read(Writer& aWriter);
  void Claim(Writer& aWriter);
  void Write(Writer& aWriter, uint32_t aChoice);
  void Send(Writer& aWriter, uint32_t aChoice);
  std::optional<LogEntryT> NextEntry(const PartitionState& aView, uint32_t aChoice) const;
  std::optional<LogEntryT> CallEntry(const ProgramId& aId,
                                     const ProgramState& aProgram,
                                     const PartitionState& aView,
                                     uint32_t aChoice) const;

  PartitionState mFold;
  std::vector<Appended> mLog;
  std::vector<wire::LogBatchT> mDelayed; // Sent; may be appended later, also repeatedly.
  Writer mWriters[2];
};

// Spent tokens of a budget root plus all reservations of its tree, computed without the derived
// fields.
uint64_t
Committed(const PartitionState& aState, const ProgramId& aRoot);

// Checks the invariants of every state. Returns the broken one, or an empty string if all hold.
std::string
BrokenInvariant(const PartitionState& aState);

}

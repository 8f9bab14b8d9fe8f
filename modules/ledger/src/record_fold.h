#pragma once

#include "sycamore/ledger/partition_state.h"
#include "undo_log.h"

#include <vector>

namespace sycamore::ledger {

// Applies the entries of one batch of the current owner, all or none. Spec: spec/ownership.pml,
// spec/budget.pml.
class RecordFold
{
public:
  RecordFold(PartitionState& aState, uint64_t aOffset, const wire::LogBatchT& aBatch);

  // Applies all entries. Returns false and changes nothing if one contradicts the state.
  bool ApplyAll();

private:
  bool Apply(const wire::LogEntryT& aEntry);
  bool ApplyRelease(const wire::LogReleaseT& aRecord);
  bool ApplyCreated(const wire::LogProgramCreatedT& aRecord);
  bool ApplyReserved(const wire::LogReservedT& aRecord);
  bool ApplyTurn(const wire::LogTurnT& aRecord);
  bool ApplyRewritten(const wire::LogTurnT& aRecord);
  bool ApplyIntent(const wire::LogIntentT& aRecord);
  bool ApplyOutcome(const wire::LogOutcomeT& aRecord);
  bool ApplyEnded(const wire::LogProgramEndedT& aRecord);
  bool ApplyCheckpoint(const wire::LogCheckpointT& aRecord);

  // Returns null if there is no such program.
  ProgramState* Find(const std::unique_ptr<wire::LogProgramT>& aProgram);
  // Returns null also if the program has ended.
  ProgramState* FindLive(const std::unique_ptr<wire::LogProgramT>& aProgram);
  ProgramState& RootOf(ProgramState& aProgram);
  bool Settle(ProgramState& aProgram, uint64_t aUsed, uint64_t aReserved);
  void SetOutcome(ProgramState& aProgram, KeyState& aKey, const wire::LogOutcomeT& aRecord);
  void InsertTurn(ProgramState& aProgram, TurnIndex aTurn);
  void End(ProgramState& aProgram, const std::string& aReason);

  PartitionState& mState;
  const uint64_t mOffset;
  const wire::LogBatchT& mBatch;
  UndoLog mUndo;
  std::vector<base::ProgramId> mDropped; // By a checkpoint. Erased once all entries are applied.
};

}

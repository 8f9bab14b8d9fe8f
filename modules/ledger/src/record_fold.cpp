#include "record_fold.h"

#include "convert.h"

#include <algorithm>

namespace sycamore::ledger {

using wire::LogOutcomeKind;
using wire::LogRecord;

// End reason of a sub-agent that ends with its parent.
static constexpr const char* kParentEnded = "parent";

RecordFold::RecordFold(PartitionState& aState, uint64_t aOffset, const wire::LogBatchT& aBatch)
  : mState(aState)
  , mOffset(aOffset)
  , mBatch(aBatch)
{
}

bool
RecordFold::ApplyAll()
{
  for (const auto& entry : mBatch.entries) {
    if (!entry || !Apply(*entry)) {
      mUndo.Revert();
      return false;
    }
  }
  for (const auto& id : mDropped) {
    mState.mPrograms.erase(id);
  }
  return true;
}

bool
RecordFold::Apply(const wire::LogEntryT& aEntry)
{
  switch (aEntry.record.type) {
    case LogRecord::LogRelease:
      return ApplyRelease(*aEntry.record.AsLogRelease());
    case LogRecord::LogProgramCreated:
      return ApplyCreated(*aEntry.record.AsLogProgramCreated());
    case LogRecord::LogReserved:
      return ApplyReserved(*aEntry.record.AsLogReserved());
    case LogRecord::LogTurn:
      return ApplyTurn(*aEntry.record.AsLogTurn());
    case LogRecord::LogIntent:
      return ApplyIntent(*aEntry.record.AsLogIntent());
    case LogRecord::LogOutcome:
      return ApplyOutcome(*aEntry.record.AsLogOutcome());
    case LogRecord::LogProgramEnded:
      return ApplyEnded(*aEntry.record.AsLogProgramEnded());
    case LogRecord::LogCheckpoint:
      return ApplyCheckpoint(*aEntry.record.AsLogCheckpoint());
    default:
      // A claim is the only entry of its batch; see ApplyBatch.
      return false;
  }
}

bool
RecordFold::ApplyRelease(const wire::LogReleaseT& aRecord)
{
  const auto& back = mBatch.entries.back();
  const bool last = back && back->record.AsLogRelease() == &aRecord;
  if (aRecord.epoch != mState.mEpoch || !last) {
    return false;
  }
  mUndo.Set(mState.mOwner, std::string());
  mUndo.Set(mState.mOwnerAddress, std::string());
  mUndo.Set(mState.mOwnerIncarnation, uint64_t{ 0 });
  return true;
}

bool
RecordFold::ApplyCreated(const wire::LogProgramCreatedT& aRecord)
{
  if (!aRecord.program) {
    return false;
  }
  const base::ProgramId id = FromWire(*aRecord.program);
  if (id.mPartition != mState.mPartition || id.mCreationOffset > mOffset ||
      mState.mPrograms.count(id) != 0) {
    return false;
  }
  ProgramState* parent = aRecord.parent ? FindLive(aRecord.parent) : nullptr;
  if (aRecord.parent && parent == nullptr) {
    return false;
  }
  ProgramState program;
  program.mAccount = aRecord.account;
  program.mRegion = aRecord.region;
  program.mMaxTurns = aRecord.max_turns;
  program.mTimeLimit = base::Millis(aRecord.time_limit_ms);
  program.mIdleLimit = base::Millis(aRecord.idle_limit_ms);
  program.mBudgetTokens = parent != nullptr ? 0 : aRecord.budget_tokens;
  if (parent != nullptr) {
    program.mParent = FromWire(*aRecord.parent);
    parent->mChildren.insert(id);
    mUndo.Add([parent, id] { parent->mChildren.erase(id); });
  }
  ProgramState& added = mState.mPrograms.emplace(id, std::move(program)).first->second;
  mUndo.Add([this, id] { mState.mPrograms.erase(id); });
  return Settle(added, 0, aRecord.reserved_tokens);
}

bool
RecordFold::ApplyReserved(const wire::LogReservedT& aRecord)
{
  ProgramState* program = FindLive(aRecord.program);
  return program != nullptr && Settle(*program, 0, aRecord.reserved_tokens);
}

// Whether a non-idempotent call of aProgram has no outcome yet. Its sequence number is then the
// program's next one, and no other call may use it.
static bool
HasOpenIntent(const ProgramState& aProgram)
{
  return std::any_of(aProgram.mKeys.begin(), aProgram.mKeys.end(), [&](const auto& aKey) {
    return !aKey.second.mOutcome && aKey.second.mSeq == aProgram.mNextSeq;
  });
}

bool
RecordFold::ApplyTurn(const wire::LogTurnT& aRecord)
{
  if (aRecord.rewritten) {
    return ApplyRewritten(aRecord);
  }
  ProgramState* program = FindLive(aRecord.program);
  if (program == nullptr || aRecord.seq != program->mNextSeq || HasOpenIntent(*program)) {
    return false;
  }
  TurnIndex turn;
  turn.mSeq = aRecord.seq;
  turn.mOffset = mOffset;
  turn.mBytes = static_cast<uint32_t>(aRecord.request.size() + aRecord.answer.size());
  turn.mRequestDigest = aRecord.request_digest;
  turn.mKind = aRecord.kind;
  InsertTurn(*program, std::move(turn));
  mUndo.Set(program->mNextSeq, aRecord.seq + 1);
  return Settle(*program, aRecord.used_tokens, aRecord.reserved_tokens);
}

// A program may end, or a checkpoint may drop it, while its rewritten turn is queued. Such a record
// is valid and has no effect.
bool
RecordFold::ApplyRewritten(const wire::LogTurnT& aRecord)
{
  ProgramState* program = FindLive(aRecord.program);
  if (program == nullptr) {
    return true;
  }
  const auto turn = std::find_if(program->mTurns.begin(),
                                 program->mTurns.end(),
                                 [&](const TurnIndex& aTurn) { return aTurn.mSeq == aRecord.seq; });
  if (turn == program->mTurns.end() || turn->mRequestDigest != aRecord.request_digest) {
    return false;
  }
  // A later entry of this batch may insert a turn and move the elements. UndoLog reverts that
  // insertion first, so the element can be restored by its position.
  const auto position = turn - program->mTurns.begin();
  mUndo.Add([program, position, old = *turn] { program->mTurns[position] = old; });
  turn->mOffset = mOffset;
  turn->mBytes = static_cast<uint32_t>(aRecord.request.size() + aRecord.answer.size());
  return true;
}

bool
RecordFold::ApplyIntent(const wire::LogIntentT& aRecord)
{
  ProgramState* program = FindLive(aRecord.program);
  if (program == nullptr || aRecord.key.empty() || aRecord.seq != program->mNextSeq ||
      HasOpenIntent(*program) || program->mKeys.count(aRecord.key) != 0) {
    return false;
  }
  KeyState key;
  key.mSeq = aRecord.seq;
  key.mRequestDigest = aRecord.request_digest;
  key.mTarget = aRecord.target;
  key.mSidecar = aRecord.sidecar;
  key.mSidecarIncarnation = aRecord.sidecar_incarnation;
  key.mIntentOffset = mOffset;
  program->mKeys.emplace(aRecord.key, std::move(key));
  mUndo.Add([program, name = aRecord.key] { program->mKeys.erase(name); });
  return true;
}

// Whether the outcome aOld may change to aNext. Equal outcomes are allowed.
static bool
MayBecome(const std::optional<LogOutcomeKind>& aOld, LogOutcomeKind aNext)
{
  return !aOld || *aOld == LogOutcomeKind::Unknown || *aOld == aNext;
}

// An outcome for an ended or dropped program never makes a batch invalid: a reader that starts from
// a checkpoint without the program must come to the same verdict as a reader that still has it.
bool
RecordFold::ApplyOutcome(const wire::LogOutcomeT& aRecord)
{
  ProgramState* program = Find(aRecord.program);
  if (program == nullptr) {
    return aRecord.program != nullptr;
  }
  const auto key = program->mKeys.find(aRecord.key);
  if (key == program->mKeys.end() || key->second.mSeq != aRecord.seq ||
      !MayBecome(key->second.mOutcome, aRecord.outcome)) {
    return program->mEnded;
  }
  if (key->second.mOutcome != aRecord.outcome) {
    SetOutcome(*program, key->second, aRecord);
  }
  return true;
}

void
RecordFold::SetOutcome(ProgramState& aProgram, KeyState& aKey, const wire::LogOutcomeT& aRecord)
{
  if (!aKey.mOutcome) {
    mUndo.Set(aProgram.mNextSeq, aRecord.seq + 1);
  }
  mUndo.Set(aKey.mOutcome, std::optional<LogOutcomeKind>(aRecord.outcome));
  if (aRecord.outcome != LogOutcomeKind::Answered) {
    return;
  }
  TurnIndex turn;
  turn.mSeq = aRecord.seq;
  turn.mOffset = mOffset;
  turn.mBytes = static_cast<uint32_t>(aRecord.answer.size());
  turn.mRequestDigest = aKey.mRequestDigest;
  turn.mKind = wire::LogTurnKind::Tool;
  turn.mKey = aRecord.key;
  InsertTurn(aProgram, std::move(turn));
}

bool
RecordFold::ApplyEnded(const wire::LogProgramEndedT& aRecord)
{
  ProgramState* program = FindLive(aRecord.program);
  if (program != nullptr) {
    End(*program, aRecord.reason);
  }
  return aRecord.program != nullptr;
}

bool
RecordFold::ApplyCheckpoint(const wire::LogCheckpointT& aRecord)
{
  if (aRecord.folded_through >= mOffset) {
    return false;
  }
  std::set<base::ProgramId> kept;
  for (const auto& program : aRecord.programs) {
    if (!program || !program->created || !program->created->program) {
      return false;
    }
    const base::ProgramId id = FromWire(*program->created->program);
    kept.insert(id);
    const auto found = mState.mPrograms.find(id);
    if (found != mState.mPrograms.end()) {
      mUndo.Set(found->second.mElapsed, base::Millis(program->elapsed_ms));
    }
  }
  for (const auto& [id, program] : mState.mPrograms) {
    if (program.mEnded && program.mEndedOffset <= aRecord.folded_through && kept.count(id) == 0) {
      mDropped.push_back(id);
    }
  }
  mUndo.Set(mState.mCheckpointOffset, mOffset);
  return true;
}

ProgramState*
RecordFold::Find(const std::unique_ptr<wire::LogProgramT>& aProgram)
{
  if (!aProgram) {
    return nullptr;
  }
  const auto found = mState.mPrograms.find(FromWire(*aProgram));
  return found != mState.mPrograms.end() ? &found->second : nullptr;
}

ProgramState*
RecordFold::FindLive(const std::unique_ptr<wire::LogProgramT>& aProgram)
{
  ProgramState* program = Find(aProgram);
  return program != nullptr && !program->mEnded ? program : nullptr;
}

ProgramState&
RecordFold::RootOf(ProgramState& aProgram)
{
  ProgramState* root = &aProgram;
  while (root->mParent) {
    root = &mState.mPrograms.at(*root->mParent);
  }
  return *root;
}

// Adds aUsed to the spent tokens and sets the program's reservation to aReserved. Returns false if
// that would exceed the root's budget. Spec: spec/budget.pml (settle).
bool
RecordFold::Settle(ProgramState& aProgram, uint64_t aUsed, uint64_t aReserved)
{
  ProgramState& root = RootOf(aProgram);
  const uint64_t otherReserved = root.mTreeReservedTokens - aProgram.mReservedTokens;
  uint64_t left = root.mBudgetTokens - root.mSpentTokens - otherReserved;
  if (aUsed > left || aReserved > left - aUsed) {
    return false;
  }
  mUndo.Set(root.mSpentTokens, root.mSpentTokens + aUsed);
  if (&root != &aProgram) {
    mUndo.Set(aProgram.mSpentTokens, aProgram.mSpentTokens + aUsed);
  }
  mUndo.Set(root.mTreeReservedTokens, otherReserved + aReserved);
  mUndo.Set(aProgram.mReservedTokens, aReserved);
  return true;
}

// Inserts by sequence number: a call whose outcome changes from Unknown to Answered may precede
// turns that are already present.
void
RecordFold::InsertTurn(ProgramState& aProgram, TurnIndex aTurn)
{
  const auto place =
    std::upper_bound(aProgram.mTurns.begin(),
                     aProgram.mTurns.end(),
                     aTurn.mSeq,
                     [](uint32_t aSeq, const auto& aOld) { return aSeq < aOld.mSeq; });
  const auto position = place - aProgram.mTurns.begin();
  aProgram.mTurns.insert(place, std::move(aTurn));
  mUndo.Add(
    [program = &aProgram, position] { program->mTurns.erase(program->mTurns.begin() + position); });
}

// Calls in flight may still use the whole reservation, so it counts as spent. A writer that knows
// the actual usage lowers the reservation first.
void
RecordFold::End(ProgramState& aProgram, const std::string& aReason)
{
  const auto children = aProgram.mChildren;
  for (const auto& child : children) {
    End(mState.mPrograms.at(child), kParentEnded);
  }
  Settle(aProgram, aProgram.mReservedTokens, 0);
  mUndo.Set(aProgram.mEnded, true);
  mUndo.Set(aProgram.mEndReason, aReason);
  mUndo.Set(aProgram.mEndedOffset, mOffset);
  if (aProgram.mParent) {
    // Safe during a recursive End: the caller iterates over a copy of the set.
    ProgramState& parent = mState.mPrograms.at(*aProgram.mParent);
    mUndo.Set(parent.mChildren, parent.mChildren);
    std::erase_if(parent.mChildren,
                  [&](const auto& aId) { return &mState.mPrograms.at(aId) == &aProgram; });
  }
}

}

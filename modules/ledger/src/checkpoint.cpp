#include "convert.h"
#include "sycamore/ledger/fold.h"

#include <cassert>

namespace sycamore::ledger {

static std::unique_ptr<wire::LogTurnIndexT>
ToWire(const TurnIndex& aTurn)
{
  auto turn = std::make_unique<wire::LogTurnIndexT>();
  turn->seq = aTurn.mSeq;
  turn->offset = aTurn.mOffset;
  turn->bytes = aTurn.mBytes;
  turn->request_digest = aTurn.mRequestDigest;
  turn->kind = aTurn.mKind;
  turn->key = aTurn.mKey;
  return turn;
}

static TurnIndex
FromWire(const wire::LogTurnIndexT& aTurn)
{
  return { aTurn.seq, aTurn.offset, aTurn.bytes, aTurn.request_digest, aTurn.kind, aTurn.key };
}

static std::unique_ptr<wire::LogKeyStateT>
ToWire(const std::string& aName, const KeyState& aKey)
{
  auto key = std::make_unique<wire::LogKeyStateT>();
  key->key = aName;
  key->seq = aKey.mSeq;
  key->request_digest = aKey.mRequestDigest;
  key->target = aKey.mTarget;
  key->sidecar = aKey.mSidecar;
  key->sidecar_incarnation = aKey.mSidecarIncarnation;
  key->intent_offset = aKey.mIntentOffset;
  key->outcome = aKey.mOutcome ? static_cast<int8_t>(*aKey.mOutcome) : int8_t{ -1 };
  return key;
}

static KeyState
FromWire(const wire::LogKeyStateT& aKey)
{
  KeyState key;
  key.mSeq = aKey.seq;
  key.mRequestDigest = aKey.request_digest;
  key.mTarget = aKey.target;
  key.mSidecar = aKey.sidecar;
  key.mSidecarIncarnation = aKey.sidecar_incarnation;
  key.mIntentOffset = aKey.intent_offset;
  if (aKey.outcome >= 0) {
    key.mOutcome = static_cast<wire::LogOutcomeKind>(aKey.outcome);
  }
  return key;
}

static std::unique_ptr<wire::LogProgramCreatedT>
CreatedOf(const base::ProgramId& aId, const ProgramState& aProgram)
{
  auto created = std::make_unique<wire::LogProgramCreatedT>();
  created->program = ToWire(aId);
  created->account = aProgram.mAccount;
  created->region = aProgram.mRegion;
  created->budget_tokens = aProgram.mBudgetTokens;
  created->max_turns = aProgram.mMaxTurns;
  created->time_limit_ms = static_cast<uint64_t>(aProgram.mTimeLimit.count());
  created->idle_limit_ms = static_cast<uint64_t>(aProgram.mIdleLimit.count());
  if (aProgram.mParent) {
    created->parent = ToWire(*aProgram.mParent);
  }
  return created;
}

static std::unique_ptr<wire::LogProgramStateT>
ToWire(const base::ProgramId& aId, const ProgramState& aProgram)
{
  auto program = std::make_unique<wire::LogProgramStateT>();
  program->created = CreatedOf(aId, aProgram);
  program->spent_tokens = aProgram.mSpentTokens;
  program->reserved_tokens = aProgram.mReservedTokens;
  program->next_seq = aProgram.mNextSeq;
  program->ended = aProgram.mEnded;
  program->end_reason = aProgram.mEndReason;
  program->ended_offset = aProgram.mEndedOffset;
  program->elapsed_ms = static_cast<uint64_t>(aProgram.mElapsed.count());
  for (const TurnIndex& turn : aProgram.mTurns) {
    program->turns.push_back(ToWire(turn));
  }
  for (const auto& [name, key] : aProgram.mKeys) {
    program->keys.push_back(ToWire(name, key));
  }
  return program;
}

static ProgramState
FromWire(const wire::LogProgramStateT& aProgram)
{
  const wire::LogProgramCreatedT& created = *aProgram.created;
  ProgramState program;
  program.mAccount = created.account;
  program.mRegion = created.region;
  program.mBudgetTokens = created.budget_tokens;
  program.mMaxTurns = created.max_turns;
  program.mTimeLimit = base::Millis(created.time_limit_ms);
  program.mIdleLimit = base::Millis(created.idle_limit_ms);
  if (created.parent) {
    program.mParent = FromWire(*created.parent);
  }
  program.mSpentTokens = aProgram.spent_tokens;
  program.mReservedTokens = aProgram.reserved_tokens;
  program.mNextSeq = aProgram.next_seq;
  program.mEnded = aProgram.ended;
  program.mEndReason = aProgram.end_reason;
  program.mEndedOffset = aProgram.ended_offset;
  program.mElapsed = base::Millis(aProgram.elapsed_ms);
  for (const auto& turn : aProgram.turns) {
    program.mTurns.push_back(FromWire(*turn));
  }
  for (const auto& key : aProgram.keys) {
    program.mKeys.emplace(key->key, FromWire(*key));
  }
  return program;
}

// Sets the fields that a checkpoint does not contain because they follow from others.
static void
SetDerivedFields(PartitionState& aState)
{
  for (const auto& [id, program] : aState.mPrograms) {
    const auto root = aState.mPrograms.find(BudgetRoot(aState, id));
    if (root != aState.mPrograms.end()) {
      root->second.mTreeReservedTokens += program.mReservedTokens;
    }
    if (!program.mParent || program.mEnded) {
      continue;
    }
    const auto parent = aState.mPrograms.find(*program.mParent);
    if (parent != aState.mPrograms.end()) {
      parent->second.mChildren.insert(id);
    }
  }
}

wire::LogCheckpointT
MakeCheckpoint(const PartitionState& aState)
{
  assert(aState.mNextOffset > 0);
  wire::LogCheckpointT checkpoint;
  checkpoint.folded_through = aState.mNextOffset - 1;
  checkpoint.epoch = aState.mEpoch;
  checkpoint.owner = aState.mOwner;
  checkpoint.owner_incarnation = aState.mOwnerIncarnation;
  checkpoint.owner_address = aState.mOwnerAddress;
  checkpoint.last_sequence = aState.mLastSequence;
  for (const auto& [id, program] : aState.mPrograms) {
    checkpoint.programs.push_back(ToWire(id, program));
  }
  return checkpoint;
}

PartitionState
RestoreCheckpoint(uint32_t aPartition, const wire::LogCheckpointT& aCheckpoint)
{
  PartitionState state;
  state.mPartition = aPartition;
  state.mNextOffset = aCheckpoint.folded_through + 1;
  state.mEpoch = aCheckpoint.epoch;
  state.mOwner = aCheckpoint.owner;
  state.mOwnerIncarnation = aCheckpoint.owner_incarnation;
  state.mOwnerAddress = aCheckpoint.owner_address;
  state.mLastSequence = aCheckpoint.last_sequence;
  for (const auto& program : aCheckpoint.programs) {
    if (program->created && program->created->program) {
      state.mPrograms.emplace(FromWire(*program->created->program), FromWire(*program));
    }
  }
  SetDerivedFields(state);
  return state;
}

}

#include "owner_sim.h"

#include <algorithm>

namespace sycamore::ledger::testing {

static constexpr uint64_t kBudget = 100;
static constexpr uint32_t kPrograms = 3;

OwnerSim::OwnerSim()
{
  mFold.mPartition = 3;
  uint64_t incarnation = 11;
  for (Writer& writer : mWriters) {
    writer.mIncarnation = incarnation;
    writer.mView.mPartition = 3;
    incarnation += 11;
  }
}

void
OwnerSim::Run(const SimStep& aStep)
{
  Writer& writer = mWriters[aStep.mArgument % 2];
  const uint32_t choice = aStep.mArgument / 2;
  switch (aStep.mAction % 8) {
    case 0:
      Claim(writer);
      break;
    case 1:
      Read(writer);
      break;
    case 2:
      if (!mDelayed.empty()) {
        Append(mDelayed.at(choice % mDelayed.size()));
      }
      break;
    case 3:
      Send(writer, choice);
      break;
    default:
      Write(writer, choice);
      break;
  }
}

void
OwnerSim::Append(const wire::LogBatchT& aBatch)
{
  const uint64_t offset = mLog.size();
  mLog.push_back({ aBatch, ApplyBatch(mFold, offset, aBatch) });
}

// Folds everything up to the head, as for a read-back or after a pause.
void
OwnerSim::Read(Writer& aWriter)
{
  while (aWriter.mView.mNextOffset < mLog.size()) {
    const wire::LogBatchT& batch = mLog.at(aWriter.mView.mNextOffset).mBatch;
    if (aWriter.mOutstanding && batch.epoch == aWriter.mOutstanding->epoch &&
        batch.incarnation == aWriter.mIncarnation &&
        batch.sequence == aWriter.mOutstanding->sequence) {
      aWriter.mOutstanding.reset();
    }
    ApplyBatch(aWriter.mView, aWriter.mView.mNextOffset, batch);
  }
}

void
OwnerSim::Claim(Writer& aWriter)
{
  if (!aWriter.mOutstanding) {
    aWriter.mOutstanding = ClaimBatch(aWriter.mView.mEpoch + 1, aWriter.mIncarnation);
    Append(*aWriter.mOutstanding);
  }
}

// Forms and sends the next batch of an owner that has read back its last one.
void
OwnerSim::Write(Writer& aWriter, uint32_t aChoice)
{
  const PartitionState& view = aWriter.mView;
  if (aWriter.mOutstanding || view.mOwnerIncarnation != aWriter.mIncarnation) {
    return;
  }
  std::optional<LogEntryT> entry = NextEntry(view, aChoice);
  if (!entry) {
    return;
  }
  std::vector<LogEntryT> entries;
  entries.push_back(std::move(*entry));
  aWriter.mOutstanding =
    With(Batch(view.mEpoch, aWriter.mIncarnation, view.mLastSequence + 1), std::move(entries));
  Send(aWriter, aChoice / 64);
}

// Sends the outstanding batch, possibly a second time: at once, delayed, or both.
void
OwnerSim::Send(Writer& aWriter, uint32_t aChoice)
{
  if (!aWriter.mOutstanding) {
    return;
  }
  if (aChoice % 3 != 0) {
    mDelayed.push_back(*aWriter.mOutstanding);
  }
  if (aChoice % 3 != 1) {
    Append(*aWriter.mOutstanding);
  }
}

std::optional<LogEntryT>
OwnerSim::NextEntry(const PartitionState& aView, uint32_t aChoice) const
{
  const ProgramId id{ 3, 0, 1 + aChoice % kPrograms };
  const ProgramId root{ 3, 0, 1 };
  const uint32_t choice = aChoice / kPrograms;
  const auto found = aView.mPrograms.find(id);
  if (found != aView.mPrograms.end()) {
    return CallEntry(id, found->second, aView, choice);
  }
  if (id == root) {
    return Created(id, kBudget, choice % 30);
  }
  const auto parent = aView.mPrograms.find(root);
  if (parent == aView.mPrograms.end() || parent->second.mEnded) {
    return std::nullopt;
  }
  return SubAgent(id, root, choice % (FreeTokens(aView, root) + 1));
}

std::optional<LogEntryT>
OwnerSim::CallEntry(const ProgramId& aId,
                    const ProgramState& aProgram,
                    const PartitionState& aView,
                    uint32_t aChoice) const
{
  const uint32_t seq = aProgram.mNextSeq;
  const uint32_t argument = aChoice / 8;
  for (const auto& [name, key] : aProgram.mKeys) {
    if (!key.mOutcome || *key.mOutcome == LogOutcomeKind::Unknown) {
      return Outcome(aId, key.mSeq, name, static_cast<LogOutcomeKind>(argument % 3));
    }
  }
  if (aProgram.mEnded || aChoice % 8 == 0) {
    return aChoice % 64 == 0 ? std::optional<LogEntryT>(Ended(aId)) : std::nullopt;
  }
  if (aChoice % 8 == 1 || aChoice % 8 == 4) {
    return Intent(aId, seq, "key-" + std::to_string(seq));
  }
  if (aChoice % 8 == 2 && !aProgram.mTurns.empty()) {
    const TurnIndex& turn = aProgram.mTurns.at(argument % aProgram.mTurns.size());
    return RewrittenTurn(aId, turn.mSeq);
  }
  if (aChoice % 8 == 3) {
    return wire::MakeEntry(MakeCheckpoint(aView));
  }
  const uint64_t available = FreeTokens(aView, BudgetRoot(aView, aId)) + aProgram.mReservedTokens;
  const uint64_t used = argument % (available + 1);
  return Turn(aId, seq, used, (argument / 7) % (available - used + 1));
}

uint64_t
Committed(const PartitionState& aState, const ProgramId& aRoot)
{
  uint64_t total = aState.mPrograms.at(aRoot).mSpentTokens;
  for (const auto& [id, program] : aState.mPrograms) {
    if (BudgetRoot(aState, id) == aRoot) {
      total += program.mReservedTokens;
    }
  }
  return total;
}

static bool
InOrder(const std::vector<TurnIndex>& aTurns)
{
  return std::adjacent_find(
           aTurns.begin(), aTurns.end(), [](const auto& aLeft, const auto& aRight) {
             return aLeft.mSeq >= aRight.mSeq;
           }) == aTurns.end();
}

std::string
BrokenInvariant(const PartitionState& aState)
{
  for (const auto& [id, program] : aState.mPrograms) {
    if (!InOrder(program.mTurns)) {
      return "turns are out of order";
    }
    if (!program.mTurns.empty() && program.mTurns.back().mSeq >= program.mNextSeq) {
      return "a committed call has the next sequence number";
    }
    if (program.mParent) {
      continue;
    }
    const uint64_t committed = Committed(aState, id);
    if (committed > program.mBudgetTokens) {
      return "spent and reserved tokens exceed the budget";
    }
    if (FreeTokens(aState, id) != program.mBudgetTokens - committed) {
      return "free tokens do not match the reservations";
    }
  }
  return {};
}

}

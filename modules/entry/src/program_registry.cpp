#include "program_registry.h"

#include <algorithm>
#include <optional>

namespace sycamore::entry {

ProgramRegistry::ProgramRegistry(Context& aContext)
  : mContext(aContext)
{
}

void
ProgramRegistry::OnAcquired(const ledger::PartitionState& aState, bool aReleased)
{
  for (const auto& [id, program] : aState.mPrograms) {
    if (program.mEnded) {
      continue;
    }
    ProgramRuntime& runtime = Add(id);
    runtime.mCreatedAt = mContext.mNow - program.mElapsed;
    // A call that the previous owner had in flight may have used the whole reservation.
    runtime.mUnsettledTokens = aReleased ? 0 : program.mReservedTokens;
  }
}

void
ProgramRegistry::OnLost(uint32_t aPartition)
{
  const auto ours = [aPartition](const auto& aPair) {
    return aPair.first.mPartition == aPartition;
  };
  std::erase_if(mPrograms, ours);
  std::erase_if(mPending, ours);
}

ProgramRuntime&
ProgramRegistry::Add(const base::ProgramId& aId)
{
  ProgramRuntime& runtime = mPrograms[aId];
  runtime = ProgramRuntime{};
  runtime.mCreatedAt = mContext.mNow;
  runtime.mLastActive = mContext.mNow;
  return runtime;
}

void
ProgramRegistry::NoteSize(const ledger::ProgramState& aProgram)
{
  mSizes[{ aProgram.mAccount, aProgram.mParent.has_value() }].Add(aProgram.mSpentTokens);
}

uint64_t
ProgramRegistry::ExpectedRemainingTokens(const ledger::ProgramState& aProgram) const
{
  const auto found = mSizes.find({ aProgram.mAccount, aProgram.mParent.has_value() });
  return found == mSizes.end() ? aProgram.mSpentTokens
                               : found->second.Remaining(aProgram.mSpentTokens);
}

ProgramRuntime*
ProgramRegistry::Find(const base::ProgramId& aId)
{
  const auto found = mPrograms.find(aId);
  return found == mPrograms.end() ? nullptr : &found->second;
}

void
ProgramRegistry::Remove(const base::ProgramId& aId)
{
  mPrograms.erase(aId);
}

void
ProgramRegistry::ForEach(
  const std::function<void(const base::ProgramId&, const ProgramRuntime&)>& aFunction) const
{
  for (const auto& [id, runtime] : mPrograms) {
    aFunction(id, runtime);
  }
}

bool
ProgramRegistry::IsEnding(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  std::optional<base::ProgramId> id = aId;
  while (id) {
    const auto program = aState.mPrograms.find(*id);
    const ProgramRuntime* runtime = Find(*id);
    if (program == aState.mPrograms.end() || program->second.mEnded || runtime == nullptr ||
        runtime->mEnding) {
      return true;
    }
    id = program->second.mParent;
  }
  return false;
}

uint64_t
ProgramRegistry::Reserved(const ledger::PartitionState& aState, const base::ProgramId& aId)
{
  const uint64_t folded = aState.mPrograms.at(aId).mReservedTokens;
  const ProgramRuntime* runtime = Find(aId);
  return runtime == nullptr ? folded
                            : std::min(folded, runtime->mLoweredReservation.value_or(folded));
}

uint64_t
ProgramRegistry::FreeTokens(const ledger::PartitionState& aState, const base::ProgramId& aId) const
{
  const base::ProgramId root = ledger::BudgetRoot(aState, aId);
  const uint64_t free = ledger::FreeTokens(aState, root);
  const auto pending = mPending.find(root);
  const uint64_t taken = pending == mPending.end() ? 0 : pending->second;
  return free - std::min(free, taken);
}

void
ProgramRegistry::AddPending(const base::ProgramId& aRoot, uint64_t aTokens)
{
  if (aTokens > 0) {
    mPending[aRoot] += aTokens;
  }
}

void
ProgramRegistry::RemovePending(const base::ProgramId& aRoot, uint64_t aTokens)
{
  const auto found = mPending.find(aRoot);
  if (found == mPending.end()) {
    return;
  }
  found->second -= std::min(found->second, aTokens);
  if (found->second == 0) {
    mPending.erase(found);
  }
}

void
ProgramRegistry::ForEachInTree(const ledger::PartitionState& aState,
                               const base::ProgramId& aId,
                               const std::function<void(const base::ProgramId&)>& aFunction)
{
  const auto found = aState.mPrograms.find(aId);
  if (found == aState.mPrograms.end()) {
    return;
  }
  const auto children = found->second.mChildren;
  aFunction(aId);
  for (const base::ProgramId& child : children) {
    ForEachInTree(aState, child, aFunction);
  }
}

}

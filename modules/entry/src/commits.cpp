#include "commits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamore::entry {

Commits::Commits(Context& aContext)
  : mContext(aContext)
{
}

bool
Commits::Append(uint32_t aPartition, wire::LogEntryT aEntry, Done aDone)
{
  const uint64_t operationId = mNextOperationId++;
  if (!mContext.mEffects.Append(aPartition, std::move(aEntry), operationId)) {
    return false;
  }
  mWaiting.emplace(operationId, Waiting{ aPartition, std::move(aDone) });
  return true;
}

bool
Commits::Claim(uint32_t aPartition, wire::LogClaimT aClaim, Done aDone)
{
  const uint64_t operationId = mNextOperationId++;
  if (!mContext.mEffects.Claim(aPartition, std::move(aClaim), operationId)) {
    return false;
  }
  mWaiting.emplace(operationId, Waiting{ aPartition, std::move(aDone) });
  return true;
}

void
Commits::OnFolded(const ledger::BatchRead& aBatch, ledger::Verdict aVerdict)
{
  if (aVerdict == ledger::Verdict::Duplicate) {
    // A second copy of a batch that was already applied; its records were reported then.
    return;
  }
  const bool accepted = aVerdict == ledger::Verdict::Applied;
  for (const uint64_t operationId : aBatch.mOperationIds) {
    auto node = mWaiting.extract(operationId);
    if (!node.empty()) {
      node.mapped().mDone(accepted ? CommitResult::Accepted : CommitResult::Lost, aBatch.mOffset);
    }
  }
}

void
Commits::ReportLost(uint32_t aPartition)
{
  std::vector<Done> lost;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (it->second.mPartition == aPartition) {
      lost.push_back(std::move(it->second.mDone));
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  for (const Done& done : lost) {
    done(CommitResult::Lost, ledger::kNoOffset);
  }
}

bool
Commits::AnyOutstanding(uint32_t aPartition) const
{
  return std::any_of(mWaiting.begin(), mWaiting.end(), [aPartition](const auto& aPair) {
    return aPair.second.mPartition == aPartition;
  });
}

}

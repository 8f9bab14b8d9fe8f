#include "entry_sim.h"

#include <cassert>

namespace sycamore::ledger::testing {

static const std::string kStream = "partition-03";

EntrySim::EntrySim(FakeLog& aLog, uint64_t aIncarnation)
  : mIncarnation(aIncarnation)
  , mLog(aLog)
  , mClient(aLog.MakeClient())
  , mWriter(*mClient, mAppends)
{
  mView.mPartition = 3;
}

void
EntrySim::Claim()
{
  if (!mOut && mView.mOwnerIncarnation != mIncarnation) {
    mOut.emplace();
    mOut->mBatch =
      std::make_shared<const wire::LogBatchT>(ClaimBatch(mView.mEpoch + 1, mIncarnation));
  }
}

void
EntrySim::Propose(LogEntryT aEntry)
{
  assert(Owner());
  wire::LogBatchT batch = Batch(mView.mEpoch, mIncarnation, mView.mLastSequence + 1);
  batch.entries.push_back(std::make_unique<LogEntryT>(std::move(aEntry)));
  mOut.emplace();
  mOut->mBatch = std::make_shared<const wire::LogBatchT>(std::move(batch));
}

std::optional<Verdict>
EntrySim::Write(AppendFault aFault)
{
  if (!mOut) {
    return std::nullopt;
  }
  mLog.PlanAppends({ aFault });
  const WriteStep step = mWriter.Write(kStream, mView.mNextOffset, *mOut);
  mLog.PlanAppends({});
  std::optional<Verdict> verdict;
  for (const FoundBatch& found : step.mFound) {
    PartitionState before = mView;
    const Verdict folded = ApplyBatch(mView, found.mOffset, *found.mBatch);
    if (found.mOwn) {
      verdict = folded;
    }
    if (mView.mEpoch != before.mEpoch && mView.mOwnerIncarnation == mIncarnation) {
      mClaimOffset = found.mOffset;
      mInherited = std::move(before);
    }
  }
  mView.mNextOffset = step.mNext;
  if (step.mDone || step.Supersedes(*mOut)) {
    mOut.reset();
  }
  return verdict;
}

}

#include "ledger_impl.h"

#include "stream_name.h"
#include "sycamore/base/log.h"

#include <algorithm>
#include <cmath>

namespace sycamore::ledger {

using base::Clock;
using base::Millis;
using base::TimePoint;

// Entries are added to a batch until it reaches this size. Larger batches would delay the other
// partitions, which share the thread.
static constexpr size_t kBatchBytes = size_t{ 1 } << 20;

// Longest wait while nothing is queued; a new entry wakes the thread earlier.
static constexpr base::Seconds kIdleWait{ 60 };

void
Ledger::Impl::RunWriter()
{
  const std::unique_ptr<platform::LogClient> client = mMakeClient();
  BatchWriter writer(*client, mAppendsSent);
  Lock lock(mMutex);
  while (!mStopping) {
    const std::optional<WriteJob> job = NextWriteLocked(lock);
    if (!job) {
      continue;
    }
    lock.unlock();
    const std::string stream = StreamName(mSettings.mStreamPrefix, job->mPartition);
    FinishWrite(*job, writer.Write(stream, job->mNextOffset, *job->mOut));
    lock.lock();
  }
}

// Returns the next write that is due, or nothing after a wait.
std::optional<Ledger::Impl::WriteJob>
Ledger::Impl::NextWriteLocked(Lock& aLock)
{
  TimePoint wake = Clock::now() + kIdleWait;
  const std::optional<uint32_t> due = DuePartitionLocked(wake);
  if (!due) {
    mWriterWake.wait_until(aLock, wake);
    return std::nullopt;
  }
  PartitionLog& log = mPartitions.at(*due);
  if (!log.mOutstanding) {
    FormBatchLocked(*due, log);
  }
  log.mNotBefore = Clock::now() + Window();
  return WriteJob{ *due, log.mGeneration, log.mNextOffset, log.mOutstanding };
}

// Returns the partition whose next append is most overdue. If none is due, lowers aWake to the time
// at which the next one will be.
std::optional<uint32_t>
Ledger::Impl::DuePartitionLocked(TimePoint& aWake) const
{
  const TimePoint now = Clock::now();
  std::optional<uint32_t> due;
  TimePoint earliest = TimePoint::max();
  for (const auto& [partition, log] : mPartitions) {
    if (log.HasWork() && log.mNotBefore < earliest) {
      earliest = log.mNotBefore;
      due = partition;
    }
  }
  if (due && earliest <= now) {
    return due;
  }
  aWake = std::min(aWake, earliest);
  return std::nullopt;
}

void
Ledger::Impl::FormBatchLocked(uint32_t aPartition, PartitionLog& aLog)
{
  auto batch = std::make_shared<wire::LogBatchT>();
  batch->partition = aPartition;
  batch->epoch = aLog.mEpoch;
  batch->incarnation = mIncarnation;
  batch->sequence = aLog.mNextSequence++;
  batch->checkpoint_offset = aLog.mCheckpoint;
  auto out = std::make_shared<OutstandingBatch>();
  do {
    QueuedEntry& entry = aLog.mQueue.front();
    batch->entries.push_back(std::make_unique<wire::LogEntryT>(std::move(entry.mEntry)));
    out->mOperationIds.push_back(entry.mOperationId);
    out->mBytes += entry.mBytes;
    aLog.mQueue.pop_front();
    // A claim is the only entry of its batch.
  } while (batch->sequence != 0 && !aLog.mQueue.empty() && out->mBytes < kBatchBytes);
  out->mBatch = std::move(batch);
  aLog.mOutstanding = std::move(out);
}

// Updates the partition before the events are delivered, so that no append is accepted any more
// when the receiver folds a newer claim.
void
Ledger::Impl::FinishWrite(const WriteJob& aJob, const WriteStep& aStep)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PartitionLog& log = mPartitions.at(aJob.mPartition);
    if (log.mGeneration != aJob.mGeneration) {
      return;
    }
    UpdateLocked(log, aJob, aStep);
  }
  for (const FoundBatch& found : aStep.mFound) {
    BatchRead read{ aJob.mPartition, found.mOffset, found.mBatch, {} };
    if (found.mOwn) {
      read.mOperationIds = aJob.mOut->mOperationIds;
    }
    if (!Deliver(aJob.mPartition, aJob.mGeneration, read)) {
      return;
    }
  }
  // A claim that skips epochs was made by a process that opened the partition after retention
  // dropped records that no checkpoint covers (PartitionOpened::mHistoryLost). This process's fold
  // would reject that claim as invalid.
  if (aStep.mTruncated || aStep.mForeignClaim > aJob.mOut->mBatch->epoch + 1) {
    CloseIncomplete(aJob, "retention dropped records of the partition before they were read");
  } else if (aStep.mError) {
    ReportError(aJob, aStep.mError->mMessage);
  }
}

void
Ledger::Impl::UpdateLocked(PartitionLog& aLog, const WriteJob& aJob, const WriteStep& aStep)
{
  const bool superseded = aStep.Supersedes(*aJob.mOut);
  aLog.mNextOffset = aStep.mNext;
  if (aStep.mDone || superseded) {
    mPendingBytes -= aLog.mOutstanding->mBytes;
    aLog.mOutstanding.reset();
  }
  if (superseded) {
    aLog.mSuperseded = true;
    for (const QueuedEntry& entry : aLog.mQueue) {
      mPendingBytes -= entry.mBytes;
    }
    aLog.mQueue.clear();
  }
  aLog.mFailures = aStep.mError ? aLog.mFailures + 1 : 0;
  if (aStep.mError) {
    aLog.mNotBefore = Clock::now() + Backoff(aLog.mFailures);
  }
}

void
Ledger::Impl::ReportError(const WriteJob& aJob, const std::string& aMessage)
{
  base::Log(base::LogEvent::LogAppendFailed, "partition {}: {}", aJob.mPartition, aMessage);
  Deliver(aJob.mPartition, aJob.mGeneration, LogAccessFailed{ aJob.mPartition, aMessage, false });
}

void
Ledger::Impl::CloseIncomplete(const WriteJob& aJob, const char* aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PartitionLog& log = mPartitions.at(aJob.mPartition);
    if (log.mGeneration != aJob.mGeneration) {
      return;
    }
    ResetLocked(log);
    log.mGeneration = aJob.mGeneration;
  }
  base::Log(base::LogEvent::LogReadFailed, "partition {}: {}", aJob.mPartition, aMessage);
  Deliver(aJob.mPartition, aJob.mGeneration, LogAccessFailed{ aJob.mPartition, aMessage, true });
}

// Time between two appends of a partition, which keeps all owners together within
// mAppendsPerSecond.
Millis
Ledger::Impl::Window() const
{
  const double millis = std::ceil(1000.0 * mLivePartitions / mSettings.mAppendsPerSecond);
  return std::clamp(
    Millis(static_cast<int64_t>(millis)), mSettings.mWindowMin, mSettings.mWindowMax);
}

}

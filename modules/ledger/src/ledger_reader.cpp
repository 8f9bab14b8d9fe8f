#include "ledger_impl.h"

#include "stream_name.h"
#include "sycamore/base/log.h"

#include <algorithm>

namespace sycamore::ledger {

using base::Clock;
using base::IsOk;

// Longest wait while no job is queued; a new job wakes the thread earlier.
static constexpr base::Seconds kIdleWait{ 60 };

void
Ledger::Impl::RunReader()
{
  const std::unique_ptr<platform::LogClient> client = mMakeClient();
  StreamReader reader(*client);
  while (const std::optional<ReadJob> job = NextRead()) {
    if (const auto* open = std::get_if<OpenJob>(&job->mJob)) {
      RunOpen(reader, *open);
    } else {
      RunTurn(reader, std::get<TurnJob>(job->mJob));
    }
  }
}

// Waits for the next job that is due. Returns nothing once the ledger stops.
std::optional<Ledger::Impl::ReadJob>
Ledger::Impl::NextRead()
{
  Lock lock(mMutex);
  while (!mStopping) {
    const auto next =
      std::min_element(mReads.begin(), mReads.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mNotBefore < aRight.mNotBefore;
      });
    if (next != mReads.end() && next->mNotBefore <= Clock::now()) {
      const ReadJob job = *next;
      mReads.erase(next);
      return job;
    }
    const auto wake = next != mReads.end() ? next->mNotBefore : Clock::now() + kIdleWait;
    mReaderWake.wait_until(lock, wake);
  }
  return std::nullopt;
}

void
Ledger::Impl::RunOpen(StreamReader& aReader, OpenJob aJob)
{
  if (!Current(aJob.mPartition, aJob.mGeneration)) {
    return;
  }
  base::Result<OpenedStream> opened =
    aReader.Open(StreamName(mSettings.mStreamPrefix, aJob.mPartition), aJob.mPartition);
  if (!IsOk(opened)) {
    RetryOpen(aJob, base::ErrorOf(opened));
    return;
  }
  OpenedStream stream = base::TakeValue(std::move(opened));
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PartitionLog& log = mPartitions.at(aJob.mPartition);
    if (log.mGeneration != aJob.mGeneration) {
      return;
    }
    log.mOpen = true;
    log.mNextOffset = stream.mState.mNextOffset;
    log.mCheckpoint = stream.mState.mCheckpointOffset;
  }
  PartitionOpened event;
  event.mHistoryLost = stream.mHistoryLost;
  event.mState = std::make_shared<PartitionState>(std::move(stream.mState));
  Deliver(aJob.mPartition, aJob.mGeneration, event);
}

void
Ledger::Impl::RetryOpen(OpenJob aJob, const base::Error& aError)
{
  base::Log(base::LogEvent::LogReadFailed, "partition {}: {}", aJob.mPartition, aError.mMessage);
  ++aJob.mFailures;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mReads.push_back({ Clock::now() + Backoff(aJob.mFailures), aJob });
  }
  Deliver(
    aJob.mPartition, aJob.mGeneration, LogAccessFailed{ aJob.mPartition, aError.mMessage, false });
}

// The result belongs to its operation id, not to a generation of the partition, so it is reported
// even if the partition was opened or abandoned in the meantime.
void
Ledger::Impl::RunTurn(StreamReader& aReader, const TurnJob& aJob)
{
  const std::string stream = StreamName(mSettings.mStreamPrefix, aJob.mPartition);
  const LedgerEvent event =
    TurnRead{ aJob.mOperationId, aReader.ReadTurn(stream, aJob.mOffset, aJob.mProgram, aJob.mSeq) };
  for (;;) {
    {
      const std::lock_guard<std::mutex> sinkLock(mSinkMutex);
      if (mSink(event)) {
        return;
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mStopping) {
        return;
      }
    }
    std::this_thread::sleep_for(base::Millis(1));
  }
}

}

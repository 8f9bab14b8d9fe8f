#include "sycamore/ledger/ledger.h"

#include "entry_size.h"
#include "ledger_impl.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <cassert>

namespace sycamore::ledger {

using base::Millis;

// Pause before an event that the sink refused is delivered again.
static constexpr Millis kSinkRetry{ 1 };

Ledger::Impl::Impl(const LedgerSettings& aSettings,
                   uint64_t aIncarnation,
                   std::function<std::unique_ptr<platform::LogClient>()> aMakeClient,
                   std::function<bool(LedgerEvent)> aSink)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mMakeClient(std::move(aMakeClient))
  , mSink(std::move(aSink))
{
  assert(aIncarnation != 0);
  mWriter = std::thread([this] { RunWriter(); });
  mReader = std::thread([this] { RunReader(); });
}

Ledger::Impl::~Impl()
{
  Stop();
}

void
Ledger::Impl::Open(uint32_t aPartition)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  PartitionLog& log = mPartitions[aPartition];
  ResetLocked(log);
  mReads.push_back({ base::Clock::now(), OpenJob{ aPartition, log.mGeneration, 0 } });
  mReaderWake.notify_one();
}

bool
Ledger::Impl::Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId)
{
  assert(aClaim.incarnation == mIncarnation);
  const std::lock_guard<std::mutex> lock(mMutex);
  PartitionLog& log = mPartitions[aPartition];
  if (!log.mOpen || mStopping) {
    return false;
  }
  for (const QueuedEntry& entry : log.mQueue) {
    mPendingBytes -= entry.mBytes;
  }
  log.mQueue.clear();
  log.mSuperseded = false;
  log.mEpoch = aClaim.epoch;
  log.mNextSequence = 0;
  QueuedEntry claim{ wire::MakeEntry(std::move(aClaim)), aOperationId, 0 };
  claim.mBytes = EstimateBytes(claim.mEntry);
  mPendingBytes += claim.mBytes;
  log.mQueue.push_back(std::move(claim));
  mWriterWake.notify_one();
  return true;
}

bool
Ledger::Impl::Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId)
{
  const size_t bytes = EstimateBytes(aEntry);
  const std::lock_guard<std::mutex> lock(mMutex);
  PartitionLog& log = mPartitions[aPartition];
  // An entry larger than the limit, such as a large checkpoint, is accepted when nothing else is
  // pending; otherwise it could never be written.
  const bool full = mPendingBytes > 0 && mPendingBytes + bytes > mSettings.mMaxPendingBytes;
  if (full || !log.Accepts() || mStopping) {
    return false;
  }
  mPendingBytes += bytes;
  log.mQueue.push_back({ std::move(aEntry), aOperationId, bytes });
  mWriterWake.notify_one();
  return true;
}

void
Ledger::Impl::Abandon(uint32_t aPartition)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ResetLocked(mPartitions[aPartition]);
}

void
Ledger::Impl::ReadTurn(uint32_t aPartition,
                       uint64_t aOffset,
                       const base::ProgramId& aProgram,
                       uint32_t aSeq,
                       uint64_t aOperationId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mReads.push_back(
    { base::Clock::now(), TurnJob{ aPartition, aOffset, aProgram, aSeq, aOperationId } });
  mReaderWake.notify_one();
}

void
Ledger::Impl::SetLivePartitions(uint32_t aCount)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLivePartitions = std::max(aCount, 1U);
}

void
Ledger::Impl::SetCheckpoint(uint32_t aPartition, uint64_t aOffset)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPartitions[aPartition].mCheckpoint = aOffset;
}

size_t
Ledger::Impl::PendingBytes() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPendingBytes;
}

uint64_t
Ledger::Impl::AppendsSent() const
{
  return mAppendsSent;
}

void
Ledger::Impl::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mWriterWake.notify_all();
    mReaderWake.notify_all();
  }
  for (std::thread* thread : { &mWriter, &mReader }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void
Ledger::Impl::ResetLocked(PartitionLog& aLog)
{
  for (const QueuedEntry& entry : aLog.mQueue) {
    mPendingBytes -= entry.mBytes;
  }
  if (aLog.mOutstanding) {
    mPendingBytes -= aLog.mOutstanding->mBytes;
  }
  const uint64_t generation = aLog.mGeneration + 1;
  aLog = PartitionLog();
  aLog.mGeneration = generation;
}

// Retries until the sink accepts aEvent. Returns false if the partition was opened or abandoned in
// the meantime or the ledger stops.
bool
Ledger::Impl::Deliver(uint32_t aPartition, uint64_t aGeneration, const LedgerEvent& aEvent)
{
  for (;;) {
    {
      const std::lock_guard<std::mutex> sinkLock(mSinkMutex);
      if (!Current(aPartition, aGeneration)) {
        return false;
      }
      if (mSink(aEvent)) {
        return true;
      }
    }
    std::this_thread::sleep_for(kSinkRetry);
  }
}

bool
Ledger::Impl::Current(uint32_t aPartition, uint64_t aGeneration) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mPartitions.find(aPartition);
  return !mStopping && found != mPartitions.end() && found->second.mGeneration == aGeneration;
}

// Exponential back-off with a jitter of up to half, so that owners do not retry at the same time.
Millis
Ledger::Impl::Backoff(int aFailures) const
{
  Millis delay = mSettings.mRetryMin;
  for (int i = 1; i < aFailures && delay < mSettings.mRetryMax; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, mSettings.mRetryMax);
  const auto jitter = static_cast<uint64_t>(delay.count() / 2 + 1);
  return delay - Millis(base::RandomId() % jitter);
}

Ledger::Ledger(const LedgerSettings& aSettings,
               uint64_t aIncarnation,
               std::function<std::unique_ptr<platform::LogClient>()> aMakeClient,
               std::function<bool(LedgerEvent)> aSink)
  : mImpl(std::make_unique<Impl>(aSettings, aIncarnation, std::move(aMakeClient), std::move(aSink)))
{
}

Ledger::~Ledger() = default;

void
Ledger::Open(uint32_t aPartition)
{
  mImpl->Open(aPartition);
}

bool
Ledger::Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId)
{
  return mImpl->Claim(aPartition, std::move(aClaim), aOperationId);
}

bool
Ledger::Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId)
{
  return mImpl->Append(aPartition, std::move(aEntry), aOperationId);
}

void
Ledger::Abandon(uint32_t aPartition)
{
  mImpl->Abandon(aPartition);
}

void
Ledger::ReadTurn(uint32_t aPartition,
                 uint64_t aOffset,
                 const base::ProgramId& aProgram,
                 uint32_t aSeq,
                 uint64_t aOperationId)
{
  mImpl->ReadTurn(aPartition, aOffset, aProgram, aSeq, aOperationId);
}

void
Ledger::SetLivePartitions(uint32_t aCount)
{
  mImpl->SetLivePartitions(aCount);
}

void
Ledger::SetCheckpoint(uint32_t aPartition, uint64_t aOffset)
{
  mImpl->SetCheckpoint(aPartition, aOffset);
}

size_t
Ledger::PendingBytes() const
{
  return mImpl->PendingBytes();
}

uint64_t
Ledger::AppendsSent() const
{
  return mImpl->AppendsSent();
}

void
Ledger::Stop()
{
  mImpl->Stop();
}

}

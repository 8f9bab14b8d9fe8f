#include "record_writer.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cassert>
#include <iterator>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// A deferred record waits this long for a batch that it can join.
static constexpr Millis kDeferredDelay{ 400 };
// Size limit of a batch; a joined batch stays below the store's limit of 256 KB for a record.
static constexpr size_t kMaxBatchBytes = 128 * 1024;
// Timeout of one call. The store answers remote regions within 80 ms, or within 300 ms when it is
// slow.
static constexpr Millis kCallTimeout{ 700 };
// Backoff after a failed call, doubled up to the maximum: the store counts refused calls too.
static constexpr Millis kInitialBackoff{ 50 };
static constexpr Millis kMaxBackoff{ 400 };

RecordWriter::RecordWriter(const boost::asio::any_io_executor& aExecutor,
                           LogStore& aStore,
                           StreamId aStream,
                           AppendedHandler aOnAppended,
                           Joiner aJoin,
                           Limits aLimits)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mStream(aStream)
  , mOnAppended(std::move(aOnAppended))
  , mJoin(std::move(aJoin))
  , mLimits(aLimits)
{
  assert(mLimits.mMaxInFlight > 0 && mLimits.mMaxRecords > 0);
}

RecordWriter::PendingPtr
RecordWriter::MakePending(std::string aRecord, base::TimePoint aDeadline) const
{
  auto pending = std::make_shared<Pending>(mExecutor);
  pending->mRecord = std::move(aRecord);
  pending->mDeadline = aDeadline;
  return pending;
}

void
RecordWriter::StartSender()
{
  // A sender that still collects records takes those that were just queued.
  if (mCollecting == 0 && mSenders < mLimits.mMaxInFlight) {
    ++mSenders;
    ++mCollecting;
    boost::asio::co_spawn(mExecutor, RunBatches(), LogFailure{});
  }
}

void
RecordWriter::AppendDeferred(std::string aRecord, base::TimePoint aDeadline)
{
  mDeferred.push_back(MakePending(std::move(aRecord), aDeadline));
  mDeferred.back()->mIsAwaited = false;
  if (mDeferred.size() == 1) {
    boost::asio::co_spawn(mExecutor, FlushDeferred(), LogFailure{});
  }
}

boost::asio::awaitable<void>
RecordWriter::FlushDeferred()
{
  co_await SleepFor(kDeferredDelay);
  if (!mDeferred.empty()) {
    std::move(mDeferred.begin(), mDeferred.end(), std::back_inserter(mQueue));
    mDeferred.clear();
    StartSender();
  }
}

boost::asio::awaitable<base::Result<uint64_t>>
RecordWriter::Append(std::string aRecord, base::TimePoint aDeadline)
{
  const PendingPtr pending = MakePending(std::move(aRecord), aDeadline);
  mQueue.push_back(pending);
  StartSender();
  while (!pending->mDone && base::Clock::now() < aDeadline) {
    co_await pending->mChanged.WaitUntil(aDeadline);
  }
  if (pending->mDone) {
    co_return pending->mOffset;
  }
  co_return base::Error{ pending->mMayBeAppended ? ErrorKind::OutcomeUnknown
                                                 : ErrorKind::LogUnavailable,
                         "the record was not appended before the deadline: " + pending->mFailure,
                         "" };
}

std::vector<RecordWriter::PendingPtr>
RecordWriter::TakeBatch()
{
  const base::TimePoint now = base::Clock::now();
  std::vector<PendingPtr> batch;
  size_t bytes = 0;
  // Deferred records come first: they were written before.
  for (std::deque<PendingPtr>* queue : { &mDeferred, &mQueue }) {
    while (!queue->empty() && batch.size() < mLimits.mMaxRecords &&
           (batch.empty() || bytes < kMaxBatchBytes)) {
      PendingPtr pending = std::move(queue->front());
      queue->pop_front();
      if (now < pending->mDeadline) {
        bytes += pending->mRecord.size();
        batch.push_back(std::move(pending));
      } else if (!pending->mIsAwaited) {
        base::Log(base::LogEvent::LogAppendFailed,
                  "stream={} partition={} a deferred record was given up: {}",
                  static_cast<int>(mStream.mName),
                  mStream.mPartition,
                  pending->mFailure);
      }
    }
  }
  return batch;
}

boost::asio::awaitable<void>
RecordWriter::RunBatches()
{
  Millis backoff = kInitialBackoff;
  // This instance is counted in mCollecting at the start of each turn of the loop.
  for (;;) {
    if (mLimits.mBatchDelay > Millis(0)) {
      co_await SleepFor(mLimits.mBatchDelay);
    }
    --mCollecting;
    std::vector<PendingPtr> batch = TakeBatch();
    if (batch.empty()) {
      break;
    }
    if (!mQueue.empty()) {
      StartSender();
    }
    const bool sent = co_await SendBatch(std::move(batch));
    if (sent) {
      backoff = kInitialBackoff;
    } else {
      co_await SleepFor(backoff);
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    if (mQueue.empty() || mCollecting > 0) {
      break;
    }
    ++mCollecting;
  }
  --mSenders;
}

boost::asio::awaitable<bool>
RecordWriter::SendBatch(std::vector<PendingPtr> aBatch)
{
  std::vector<std::string> records;
  for (const PendingPtr& pending : aBatch) {
    records.push_back(pending->mRecord);
  }
  if (mJoin && records.size() > 1) {
    records = { mJoin(records) };
  }
  const auto appended = co_await mStore.Append(mStream, records, kCallTimeout);
  if (base::IsOk(appended)) {
    const auto [offset, joined] = base::ValueOf(appended);
    if (!joined) {
      mOnAppended(offset, records);
    }
    for (size_t i = 0; i < aBatch.size(); ++i) {
      aBatch[i]->mDone = true;
      aBatch[i]->mOffset = offset + std::min(i, records.size() - 1);
      aBatch[i]->mChanged.NotifyAll();
    }
    co_return true;
  }
  const base::Error& error = base::ErrorOf(appended);
  for (const PendingPtr& pending : aBatch) {
    pending->mFailure = error.mMessage;
    pending->mMayBeAppended = pending->mMayBeAppended || error.mKind == ErrorKind::OutcomeUnknown;
  }
  mQueue.insert(
    mQueue.begin(), std::make_move_iterator(aBatch.begin()), std::make_move_iterator(aBatch.end()));
  co_return false;
}

}

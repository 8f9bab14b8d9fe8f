#include "record_writer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <iterator>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// Records that arrive within this time go with one call. The store appends 500 calls a second to a
// stream, of all gateways together; beyond that each call waits for those of the others.
static constexpr Millis kBatchDelay{ 25 };
// A record that nobody waits for waits this long for company.
static constexpr Millis kLaterDelay{ 400 };
// Bytes of one call; joined they stay below the store's limit of 256 kilobytes for a record.
static constexpr size_t kMostBatchBytes = 128 * 1024;
// Limit of one call. The store answers far regions within 80 ms, 300 ms when it is slow.
static constexpr Millis kCallTimeout{ 700 };
// Pause after a failed call, doubled up to the longest one: the store counts refused calls too.
static constexpr Millis kFirstPause{ 50 };
static constexpr Millis kLongestPause{ 400 };

RecordWriter::RecordWriter(const boost::asio::any_io_executor& aExecutor,
                           LogStore& aStore,
                           StreamName aStream,
                           AppendedHandler aOnAppended,
                           Joiner aJoin)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mStream(aStream)
  , mOnAppended(std::move(aOnAppended))
  , mJoin(std::move(aJoin))
{
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
  if (!std::exchange(mSending, true)) {
    boost::asio::co_spawn(mExecutor, RunBatches(), LogFailure{});
  }
}

void
RecordWriter::AppendLater(std::string aRecord, base::TimePoint aDeadline)
{
  mLater.push_back(MakePending(std::move(aRecord), aDeadline));
  if (mLater.size() == 1) {
    boost::asio::co_spawn(mExecutor, FlushLater(), LogFailure{});
  }
}

boost::asio::awaitable<void>
RecordWriter::FlushLater()
{
  co_await SleepFor(kLaterDelay);
  if (!mLater.empty()) {
    std::move(mLater.begin(), mLater.end(), std::back_inserter(mQueue));
    mLater.clear();
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
                         "not appended in time: " + pending->mFailure,
                         "" };
}

std::vector<RecordWriter::PendingPtr>
RecordWriter::TakeBatch()
{
  const base::TimePoint now = base::Clock::now();
  std::vector<PendingPtr> batch;
  size_t bytes = 0;
  for (std::deque<PendingPtr>* queue : { &mQueue, &mLater }) {
    while (!queue->empty() && (batch.empty() || bytes < kMostBatchBytes)) {
      PendingPtr pending = std::move(queue->front());
      queue->pop_front();
      if (now < pending->mDeadline) {
        bytes += pending->mRecord.size();
        batch.push_back(std::move(pending));
      }
    }
  }
  return batch;
}

boost::asio::awaitable<void>
RecordWriter::RunBatches()
{
  Millis pause = kFirstPause;
  while (!mQueue.empty()) {
    co_await SleepFor(kBatchDelay);
    std::vector<PendingPtr> batch = TakeBatch();
    if (batch.empty()) {
      break;
    }
    const bool sent = co_await SendBatch(std::move(batch));
    if (sent) {
      pause = kFirstPause;
    } else {
      co_await SleepFor(pause);
      pause = std::min(pause * 2, kLongestPause);
    }
  }
  mSending = false;
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
    const uint64_t offset = base::ValueOf(appended);
    mOnAppended(offset, records);
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

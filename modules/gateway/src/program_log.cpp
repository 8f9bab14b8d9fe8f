#include "program_log.h"

#include "elapsed.h"
#include "sycamore/base/log.h"
#include "sycamore/programs/record_codec.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace sycamore::gateway {

using base::LogEvent;
using base::Millis;

// Long poll: a read returns at once if there are records, otherwise after this time.
static constexpr Millis kReadWait{ 1000 };
static constexpr Millis kReadTimeout{ 1700 };
// Interval between reads of a busy stream, so that one call returns several records: each call has
// a cost. Multiplied by the number of partitions, so that the calls do not grow with it.
static constexpr Millis kReadInterval{ 40 };
// The same for an aggregator and for those that read from it, whatever the number of partitions:
// few gateways read the store, and calls within a failure domain are cheap.
static constexpr Millis kSharedReadInterval{ 30 };
// Time after a read by another gateway for which this one is taken as an aggregator.
static constexpr base::Seconds kShareLease{ 3 };
static constexpr size_t kKilobyte = 1024;
// Records are collected for this time before they go to the aggregator, which collects them again.
static constexpr Millis kBatchDelay{ 3 };
// The next records need not wait until the aggregator has appended the ones before.
static constexpr uint32_t kAppendsInFlight = 3;
static constexpr Millis kRetryDelay{ 150 };
// Timeout of a page while the history is loaded: a remote region reads about 1 MB/s.
static constexpr Millis kLoadTimeout{ 4000 };
// Concurrent readers of the stream while the history is loaded. One connection to a remote region
// carries 2 MB/s, and the store's bandwidth is far higher.
static constexpr size_t kLoadReaders = 8;
// Number of records above which the load is parallel; fewer fit into one or two pages.
static constexpr uint64_t kParallelLoadThreshold = 500;
// Time without a record after which a load from an aggregator goes on at the store.
static constexpr Millis kLoadStall{ 1000 };
// Page size of a load; small, since the last page of each segment overlaps the next segment.
static constexpr uint32_t kLoadPageKilobytes = 128;
// Timeout of a read that a call waits for. Remote regions take 75 ms.
static constexpr Millis kCatchUpTimeout{ 600 };

ProgramLog::ProgramLog(const boost::asio::any_io_executor& aExecutor,
                       LogStore& aStore,
                       programs::ProgramRegistry& aPrograms,
                       uint32_t aPartition,
                       uint32_t aPartitions)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mPrograms(aPrograms)
  , mStream(StreamName::Programs, aPartition)
  , mReadInterval(kReadInterval * aPartitions)
  , mApplied(aExecutor)
  , mWake(aExecutor)
  , mWriter(
      aExecutor,
      aStore,
      mStream,
      [this](uint64_t aOffset, const std::vector<std::string>& aRecords) {
        ApplyAppended(aOffset, aRecords);
      },
      programs::JoinRecords,
      RecordWriter::Limits{ kBatchDelay, kAppendsInFlight })
{
}

// A segment of the stream that one coroutine reads while the history is loaded.
struct ProgramLog::StreamSegment
{
  uint64_t mNext = 0;
  uint64_t mEnd = 0;
  std::vector<StreamRecord> mRecords;
};

boost::asio::awaitable<void>
ProgramLog::ReadSegment(StreamSegment& aSegment)
{
  while (aSegment.mNext < aSegment.mEnd) {
    ReadRange range{ aSegment.mNext, Millis(0), kLoadPageKilobytes };
    range.mStoreOnly = true;
    auto page = co_await mStore.Read(mStream, range, kLoadTimeout);
    if (!base::IsOk(page) || base::ValueOf(page).mRecords.empty()) {
      break; // The next round reads the missing records.
    }
    StreamPage read = base::TakeValue(std::move(page));
    aSegment.mNext = read.mNext;
    std::move(read.mRecords.begin(), read.mRecords.end(), std::back_inserter(aSegment.mRecords));
  }
}

boost::asio::awaitable<void>
ProgramLog::LoadInParallel()
{
  std::vector<StreamSegment> segments;
  const uint64_t size = (mEnd - mNext) / kLoadReaders + 1;
  for (uint64_t from = mNext; from < mEnd; from += size) {
    segments.push_back({ from, std::min(from + size, mEnd), {} });
  }
  TaskGroup readers(mExecutor);
  for (StreamSegment& segment : segments) {
    readers.Spawn(ReadSegment(segment));
  }
  co_await readers.Wait();
  for (const StreamSegment& segment : segments) {
    ApplyRecords(segment.mRecords);
    if (segment.mNext < segment.mEnd) {
      break; // Records after a gap cannot be applied before those in it.
    }
  }
}

ReadRange
ProgramLog::NextLoadRange() const
{
  ReadRange range{ mNext, Millis(0), kLoadPageKilobytes };
  // An aggregator that cannot load the history itself must not hold up this process.
  range.mStoreOnly = IsShared() || Since(mLastProgress) > kLoadStall;
  if (mLastPageShared && !range.mStoreOnly) {
    // An aggregator that is still loading has no more yet, or the end that it told may be old.
    range.mWait = mNext < mEnd ? kReadWait : Millis(0);
    range.mFresh = mNext >= mEnd;
  }
  return range;
}

boost::asio::awaitable<void>
ProgramLog::Run()
{
  const base::TimePoint started = base::Clock::now();
  mLastProgress = started;
  while (!mLoaded) {
    const auto read = co_await ReadOnce(NextLoadRange(), kLoadTimeout);
    if (!base::IsOk(read)) {
      co_await SleepFor(kRetryDelay);
    } else if (!mLoaded && !mLastPageShared && mEnd - mNext > kParallelLoadThreshold) {
      co_await LoadInParallel();
    }
  }
  base::Log(LogEvent::HistoryLoaded,
            "partition={} records={} programs={} turns={} took_ms={}",
            mStream.mPartition,
            mNext,
            mPrograms.ProgramCount(),
            mPrograms.TurnCount(),
            Since(started).count());
  co_await Follow();
}

boost::asio::awaitable<void>
ProgramLog::Follow()
{
  for (;;) {
    const uint64_t before = mNext;
    ReadRange range{ mNext, kReadWait };
    range.mStoreOnly = IsShared();
    const auto read = co_await ReadOnce(range, kReadTimeout);
    if (!base::IsOk(read)) {
      co_await SleepFor(kRetryDelay);
    } else if (mNext != before && !mReadWanted) {
      const bool shared = IsShared() || mLastPageShared;
      co_await mWake.WaitUntil(base::Clock::now() + (shared ? kSharedReadInterval : mReadInterval));
    }
    mReadWanted = false;
  }
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLog::ReadOnce(ReadRange aRange, Millis aTimeout)
{
  const Millis begin = base::TimeOfDay();
  auto page = co_await mStore.Read(mStream, aRange, aTimeout);
  if (!base::IsOk(page)) {
    if (!std::exchange(mFailing, true)) {
      base::Log(LogEvent::LogReadFailed,
                "stream=programs partition={} next={} error=\"{}\"",
                mStream.mPartition,
                mNext,
                base::ErrorOf(page).mMessage);
    }
    co_return base::ErrorOf(page);
  }
  mFailing = false;
  const StreamPage& read = base::ValueOf(page);
  mLastPageShared = read.mShared;
  if (read.mNext > mNext || !read.mShared) {
    mLastProgress = base::Clock::now();
  }
  ApplyPage(read);
  if (mNext >= read.mEnd) {
    mCurrentAt = std::max(mCurrentAt, begin - read.mAge);
  }
  // The end that another gateway tells may be older than this process.
  if (mNext >= read.mEnd && (!read.mShared || aRange.mFresh)) {
    mLoaded = true;
  }
  mApplied.NotifyAll();
  co_return base::Unit{};
}

void
ProgramLog::ApplyRecords(const std::vector<StreamRecord>& aRecords)
{
  for (const StreamRecord& record : aRecords) {
    if (record.mOffset >= mNext && record.mValue) {
      ApplyRecord(record.mOffset, *record.mValue);
    }
  }
}

void
ProgramLog::ApplyPage(const StreamPage& aPage)
{
  ApplyRecords(aPage.mRecords);
  if (aPage.mNext > mNext) {
    DropKept(aPage.mNext); // Records in between are no longer kept by the store.
  }
  mEnd = std::max(mNext, aPage.mEnd);
}

void
ProgramLog::ApplyRecord(uint64_t aOffset, const std::string& aBytes)
{
  if (const auto record = programs::DecodeRecord(aBytes)) {
    mPrograms.Apply(*record);
  } else {
    base::Log(LogEvent::BatchIgnored,
              "stream=programs partition={} offset={}: malformed record",
              mStream.mPartition,
              aOffset);
  }
  if (aOffset != mNext) {
    DropKept(aOffset);
  }
  Keep(aBytes);
  mNext = aOffset + 1;
}

void
ProgramLog::Keep(const std::string& aBytes)
{
  mKept.push_back(aBytes);
  mKeptBytes += aBytes.size();
  while (mKeptBytes > mMaxKeptBytes && !mKept.empty()) {
    mKeptBytes -= mKept.front().size();
    mKept.pop_front();
  }
}

void
ProgramLog::DropKept(uint64_t aNext)
{
  mKept.clear();
  mKeptBytes = 0;
  mNext = aNext;
}

bool
ProgramLog::IsShared() const
{
  return base::Clock::now() < mSharedUntil;
}

LogStore::Async<StreamPage>
ProgramLog::ReadShared(ReadRange aRange, base::TimePoint aDeadline)
{
  mSharedUntil = base::Clock::now() + kShareLease;
  if (aRange.mFresh) {
    const auto caughtUp = co_await CatchUp(aDeadline);
    if (!base::IsOk(caughtUp)) {
      co_return base::ErrorOf(caughtUp);
    }
  }
  const base::TimePoint limit = std::min(aDeadline, base::Clock::now() + aRange.mWait);
  while (mNext <= aRange.mFrom && base::Clock::now() < limit) {
    co_await mApplied.WaitUntil(limit);
  }
  const uint64_t firstKept = mNext - mKept.size();
  if (aRange.mFrom < firstKept) {
    co_return base::Error{ base::ErrorKind::LogUnavailable,
                           "the records are no longer kept by the aggregator",
                           "" };
  }
  StreamPage page;
  page.mNext = aRange.mFrom;
  size_t bytes = 0;
  while (page.mNext < mNext && bytes < aRange.mMaxKilobytes * kKilobyte) {
    const std::string& record = mKept[page.mNext - firstKept];
    bytes += record.size();
    page.mRecords.push_back({ page.mNext++, "", record });
  }
  // While the history is loaded here, no reader may believe that it has reached the end.
  page.mEnd = mLoaded ? std::max(mEnd, mNext) : std::max(mEnd, mNext + 1);
  page.mAge = std::max(base::TimeOfDay() - mCurrentAt, Millis(0));
  co_return page;
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLog::CatchUp(base::TimePoint aDeadline)
{
  // A read in flight may have been served before this call, so a later read is needed.
  const uint64_t needed = mCatchUpsStarted + 1;
  while (mLoaded && mLastSuccessfulCatchUp < needed && Until(aDeadline) > Millis(0)) {
    if (mCatchUpsStarted > mCatchUpsEnded) {
      co_await mApplied.WaitUntil(aDeadline);
      continue;
    }
    const uint64_t catchUpNumber = ++mCatchUpsStarted;
    const auto read = co_await ReadToEnd(aDeadline);
    mCatchUpsEnded = catchUpNumber;
    mLastSuccessfulCatchUp = base::IsOk(read) ? catchUpNumber : mLastSuccessfulCatchUp;
    mApplied.NotifyAll();
    if (!base::IsOk(read)) {
      co_return base::ErrorOf(read);
    }
  }
  if (mLastSuccessfulCatchUp >= needed) {
    co_return base::Unit{};
  }
  co_return base::Error{ base::ErrorKind::LogUnavailable,
                         mLoaded ? "the log was not read in time" : "the history is being loaded",
                         "" };
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLog::ReadToEnd(base::TimePoint aDeadline)
{
  std::optional<uint64_t> end; // Of the stream when the first page was read.
  while (!end || mNext < *end) {
    ReadRange range{ mNext, Millis(0) };
    range.mFresh = true;
    range.mStoreOnly = IsShared();
    const Millis limit = std::clamp(Until(aDeadline), Millis(1), kCatchUpTimeout);
    const auto read = co_await ReadOnce(range, limit);
    if (!base::IsOk(read)) {
      co_return base::ErrorOf(read);
    }
    end = end.value_or(mEnd);
  }
  co_return base::Unit{};
}

static std::string
RecordOf(std::vector<programs::ProgramEvent> aEvents)
{
  return programs::EncodeRecord({ base::TimeOfDay(), std::move(aEvents) });
}

static std::string
RecordOf(programs::ProgramEvent aEvent)
{
  std::vector<programs::ProgramEvent> events;
  events.push_back(std::move(aEvent));
  return RecordOf(std::move(events));
}

void
ProgramLog::AppendDeferred(programs::ProgramEvent aEvent, base::TimePoint aDeadline)
{
  mWriter.AppendDeferred(RecordOf(std::move(aEvent)), aDeadline);
}

boost::asio::awaitable<base::Result<uint64_t>>
ProgramLog::Append(programs::ProgramEvent aEvent, base::TimePoint aDeadline)
{
  return mWriter.Append(RecordOf(std::move(aEvent)), aDeadline);
}

boost::asio::awaitable<base::Result<uint64_t>>
ProgramLog::Append(std::vector<programs::ProgramEvent> aEvents, base::TimePoint aDeadline)
{
  return mWriter.Append(RecordOf(std::move(aEvents)), aDeadline);
}

void
ProgramLog::ApplyAppended(uint64_t aOffset, const std::vector<std::string>& aRecords)
{
  if (aOffset != mNext) {
    return; // Records of other writers lie in between; the next read returns all of them.
  }
  for (const std::string& record : aRecords) {
    ApplyRecord(mNext, record);
  }
  mApplied.NotifyAll();
}

boost::asio::awaitable<bool>
ProgramLog::WaitApplied(uint64_t aOffset, base::TimePoint aDeadline)
{
  while (mNext <= aOffset && base::Clock::now() < aDeadline) {
    // A read that is under way returns as soon as it sees the record. Another one would transfer
    // the same records twice.
    mReadWanted = true;
    mWake.NotifyAll();
    co_await mApplied.WaitUntil(aDeadline);
  }
  co_return mNext > aOffset;
}

boost::asio::awaitable<void>
ProgramLog::WaitForChange(base::TimePoint aDeadline)
{
  co_await mApplied.WaitUntil(aDeadline);
}

}

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

// A read returns at once when there are records; without any after this time.
static constexpr Millis kReadWait{ 1000 };
static constexpr Millis kReadTimeout{ 1700 };
// Pause between two reads of a busy stream: several records come with one paid call.
static constexpr Millis kReadInterval{ 40 };
static constexpr Millis kRetryPause{ 150 };
// Limit of a page while the history is loaded: a far region reads about a megabyte in a second.
static constexpr Millis kLoadTimeout{ 4000 };
// Reads of different parts of the stream at the same time while the history is loaded. One
// connection to a far region carries two megabytes in a second, and the store has far more.
static constexpr size_t kLoadReaders = 8;
// Records from which on the load is split: fewer come with one or two pages.
static constexpr uint64_t kSplitFrom = 500;
// Pages of a split load; small, since the last page of each part reaches into the next part.
static constexpr uint32_t kLoadKilobytes = 128;
// Limit of a read on behalf of a waiting call. Far regions take 75 ms.
static constexpr Millis kCatchUpTimeout{ 600 };
// How often expired turns are looked for.
static constexpr base::Seconds kExpiryInterval{ 5 };

static Millis
TimeOfDay()
{
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

ProgramLog::ProgramLog(const boost::asio::any_io_executor& aExecutor, LogStore& aStore)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mApplied(aExecutor)
  , mWriter(
      aExecutor,
      aStore,
      StreamName::Programs,
      [this](uint64_t aOffset, const std::vector<std::string>& aRecords) {
        ApplyAppended(aOffset, aRecords);
      },
      programs::JoinRecords)
{
}

// A part of the stream that one coroutine reads while the history is loaded.
struct ProgramLog::Part
{
  uint64_t mNext = 0;
  uint64_t mEnd = 0;
  std::vector<StreamRecord> mRecords;
};

boost::asio::awaitable<void>
ProgramLog::ReadPart(Part& aPart)
{
  while (aPart.mNext < aPart.mEnd) {
    const ReadRange range{ aPart.mNext, Millis(0), kLoadKilobytes };
    auto page = co_await mStore.Read(StreamName::Programs, range, kLoadTimeout);
    if (!base::IsOk(page) || base::ValueOf(page).mRecords.empty()) {
      break; // What is missing is read by the next round.
    }
    StreamPage read = base::TakeValue(std::move(page));
    aPart.mNext = read.mNext;
    std::move(read.mRecords.begin(), read.mRecords.end(), std::back_inserter(aPart.mRecords));
  }
}

boost::asio::awaitable<void>
ProgramLog::LoadSplit()
{
  std::vector<Part> parts;
  const uint64_t size = (mEnd - mNext) / kLoadReaders + 1;
  for (uint64_t from = mNext; from < mEnd; from += size) {
    parts.push_back({ from, std::min(from + size, mEnd), {} });
  }
  TaskGroup readers(mExecutor);
  for (Part& part : parts) {
    readers.Spawn(ReadPart(part));
  }
  co_await readers.Wait();
  for (const Part& part : parts) {
    ApplyRecords(part.mRecords);
    if (part.mNext < part.mEnd) {
      break; // The records after the gap have to wait for it.
    }
  }
}

boost::asio::awaitable<void>
ProgramLog::Run()
{
  const base::TimePoint started = base::Clock::now();
  while (!mLoaded) {
    const ReadRange range{ mNext, Millis(0), kLoadKilobytes };
    const auto read = co_await ReadOnce(range, kLoadTimeout);
    if (!base::IsOk(read)) {
      co_await SleepFor(kRetryPause);
    } else if (!mLoaded && mEnd - mNext > kSplitFrom) {
      co_await LoadSplit();
    }
  }
  base::Log(LogEvent::HistoryLoaded,
            "records={} programs={} turns={} took_ms={}",
            mNext,
            mPrograms.ProgramCount(),
            mPrograms.TurnCount(),
            Since(started).count());
  co_await Follow();
}

boost::asio::awaitable<void>
ProgramLog::Follow()
{
  base::TimePoint nextExpiry = base::Clock::now() + kExpiryInterval;
  for (;;) {
    const uint64_t before = mNext;
    const ReadRange range{ mNext, kReadWait };
    const auto read = co_await ReadOnce(range, kReadTimeout);
    if (!base::IsOk(read)) {
      co_await SleepFor(kRetryPause);
    } else if (mNext != before) {
      co_await SleepFor(kReadInterval);
    }
    if (base::Clock::now() >= nextExpiry) {
      mPrograms.Expire(TimeOfDay());
      nextExpiry = base::Clock::now() + kExpiryInterval;
    }
  }
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLog::ReadOnce(ReadRange aRange, Millis aTimeout)
{
  auto page = co_await mStore.Read(StreamName::Programs, aRange, aTimeout);
  if (!base::IsOk(page)) {
    if (!std::exchange(mFailing, true)) {
      base::Log(LogEvent::LogReadFailed,
                "stream=programs next={} error=\"{}\"",
                mNext,
                base::ErrorOf(page).mMessage);
    }
    co_return base::ErrorOf(page);
  }
  mFailing = false;
  ApplyPage(base::ValueOf(page));
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
  mNext = std::max(mNext, aPage.mNext);
  mEnd = aPage.mEnd;
  if (mNext >= aPage.mEnd) {
    mLoaded = true;
  }
  mApplied.NotifyAll();
}

void
ProgramLog::ApplyRecord(uint64_t aOffset, const std::string& aBytes)
{
  if (const auto record = programs::DecodeRecord(aBytes)) {
    mPrograms.Apply(*record);
  } else {
    base::Log(LogEvent::BatchIgnored, "stream=programs offset={}: not a record", aOffset);
  }
  mNext = aOffset + 1;
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLog::CatchUp(base::TimePoint aDeadline)
{
  // A read that is under way may have passed the store already.
  const uint64_t needed = mFreshStarted + 1;
  while (mLoaded && mFreshDone < needed && Until(aDeadline) > Millis(0)) {
    if (mFreshStarted > mFreshEnded) {
      co_await mApplied.WaitUntil(aDeadline);
      continue;
    }
    const uint64_t ticket = ++mFreshStarted;
    const auto read = co_await ReadToEnd(aDeadline);
    mFreshEnded = ticket;
    mFreshDone = base::IsOk(read) ? ticket : mFreshDone;
    mApplied.NotifyAll();
    if (!base::IsOk(read)) {
      co_return base::ErrorOf(read);
    }
  }
  if (mFreshDone >= needed) {
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
    const ReadRange range{ mNext, Millis(0) };
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
RecordOf(programs::ProgramEvent aEvent)
{
  programs::ProgramRecord record{ TimeOfDay(), {} };
  record.mEvents.push_back(std::move(aEvent));
  return programs::EncodeRecord(record);
}

void
ProgramLog::AppendLater(programs::ProgramEvent aEvent, base::TimePoint aDeadline)
{
  mWriter.AppendLater(RecordOf(std::move(aEvent)), aDeadline);
}

boost::asio::awaitable<base::Result<uint64_t>>
ProgramLog::Append(programs::ProgramEvent aEvent, base::TimePoint aDeadline)
{
  return mWriter.Append(RecordOf(std::move(aEvent)), aDeadline);
}

void
ProgramLog::ApplyAppended(uint64_t aOffset, const std::vector<std::string>& aRecords)
{
  if (aOffset != mNext) {
    return; // Records of others lie between; the next read brings all of them.
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
    co_await mApplied.WaitUntil(aDeadline);
  }
  co_return mNext > aOffset;
}

}

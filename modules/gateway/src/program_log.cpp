#include "program_log.h"

#include "sycamore/base/log.h"
#include "sycamore/programs/record_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sycamore::gateway {

using base::LogEvent;
using base::Millis;

// A read returns at once when there are records; without any after this time.
static constexpr Millis kReadWait{ 1000 };
static constexpr Millis kReadTimeout{ 1700 };
// Pause between two reads of a busy stream: several records come with one paid call.
static constexpr Millis kReadInterval{ 25 };
static constexpr Millis kRetryPause{ 150 };
// Limit of a page while the history is loaded: a far region reads about a megabyte in a second.
static constexpr Millis kLoadTimeout{ 4000 };
// Limit of a read on behalf of a waiting call. Far regions take 75 ms.
static constexpr Millis kCatchUpTimeout{ 600 };
// How often expired turns are looked for.
static constexpr base::Seconds kExpiryInterval{ 5 };

static Millis
TimeOfDay()
{
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

static Millis
TimeLeft(base::TimePoint aDeadline)
{
  return std::chrono::duration_cast<Millis>(aDeadline - base::Clock::now());
}

ProgramLog::ProgramLog(const boost::asio::any_io_executor& aExecutor, LogStore& aStore)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mApplied(aExecutor)
  , mWriter(aExecutor,
            aStore,
            StreamName::Programs,
            [this](uint64_t aOffset, const std::vector<std::string>& aRecords) {
              ApplyAppended(aOffset, aRecords);
            })
{
}

boost::asio::awaitable<void>
ProgramLog::Run()
{
  base::TimePoint nextExpiry = base::Clock::now() + kExpiryInterval;
  for (;;) {
    const uint64_t before = mNext;
    const ReadRange range{ mNext, mLoaded ? kReadWait : Millis(0) };
    const auto read = co_await ReadOnce(range, mLoaded ? kReadTimeout : kLoadTimeout);
    if (!base::IsOk(read)) {
      co_await SleepFor(kRetryPause);
    } else if (mNext != before && mLoaded) {
      co_await SleepFor(kReadInterval);
    }
    if (base::Clock::now() >= nextExpiry) {
      mBook.Expire(TimeOfDay());
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
ProgramLog::ApplyPage(const StreamPage& aPage)
{
  for (const StreamRecord& record : aPage.mRecords) {
    if (record.mOffset >= mNext && record.mValue) {
      ApplyRecord(record.mOffset, *record.mValue);
    }
  }
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
    mBook.Apply(*record);
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
  while (mLoaded && mFreshDone < needed && TimeLeft(aDeadline) > Millis(0)) {
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
    const Millis limit = std::clamp(TimeLeft(aDeadline), Millis(1), kCatchUpTimeout);
    const auto read = co_await ReadOnce(range, limit);
    if (!base::IsOk(read)) {
      co_return base::ErrorOf(read);
    }
    end = end.value_or(mEnd);
  }
  co_return base::Unit{};
}

boost::asio::awaitable<base::Result<uint64_t>>
ProgramLog::Append(programs::ProgramEvent aEvent, base::TimePoint aDeadline)
{
  return mWriter.Append(programs::EncodeRecord({ TimeOfDay(), std::move(aEvent) }), aDeadline);
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

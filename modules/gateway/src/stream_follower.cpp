#include "stream_follower.h"

#include "async.h"
#include "sycamore/base/log.h"

#include <optional>
#include <utility>

namespace sycamore::gateway {

using base::LogEvent;

// Long poll: a read returns at once if there is a change, otherwise after this time. Well below the
// 3 s within which a change must be in force, since a connection may die without notice.
static constexpr base::Millis kReadWait{ 1000 };
static constexpr base::Millis kReadTimeout{ 1700 };
static constexpr base::Millis kSnapshotTimeout{ 1000 };
// Time between the starts of two snapshots. While the store drops its history each read of changes
// asks for a new one; without a pause the snapshots of all gateways take the store's bandwidth.
static constexpr base::Millis kSnapshotInterval{ 1000 };
// Delay after a failure: keeps the calls of all processes far below the store's limits.
static constexpr base::Millis kRetryDelay{ 150 };

namespace {

// Read position in the stream, and whether the last read failed.
struct Position
{
  std::optional<uint64_t> mNext; // Nothing until a snapshot was read.
  base::TimePoint mNextSnapshot; // Not before this time.
  bool mFailing = false;
};

}

static boost::asio::awaitable<void>
ReportFailure(Position& aPosition,
              StreamName aStream,
              const base::Error& aError,
              const FollowerHandlers& aHandlers)
{
  if (!std::exchange(aPosition.mFailing, true)) {
    base::Log(LogEvent::LogReadFailed,
              "stream={} error=\"{}\"",
              static_cast<int>(aStream),
              aError.mMessage);
  }
  aHandlers.mOnFailure();
  co_await SleepFor(kRetryDelay);
}

static boost::asio::awaitable<void>
ReadSnapshot(LogStore& aStore,
             StreamName aStream,
             Position& aPosition,
             const FollowerHandlers& aHandlers)
{
  const base::TimePoint now = base::Clock::now();
  if (now < aPosition.mNextSnapshot) {
    co_await SleepFor(std::chrono::duration_cast<base::Millis>(aPosition.mNextSnapshot - now));
  }
  aPosition.mNextSnapshot = base::Clock::now() + kSnapshotInterval;
  auto snapshot = co_await aStore.Newest(aStream, kSnapshotTimeout);
  if (!base::IsOk(snapshot)) {
    co_await ReportFailure(aPosition, aStream, base::ErrorOf(snapshot), aHandlers);
    co_return;
  }
  aPosition.mNext = base::ValueOf(snapshot).mEnd;
  aPosition.mFailing = false;
  aHandlers.mOnSnapshot(base::TakeValue(std::move(snapshot)));
  aHandlers.mOnCurrent();
}

static boost::asio::awaitable<void>
ReadChanges(LogStore& aStore,
            StreamName aStream,
            Position& aPosition,
            const FollowerHandlers& aHandlers)
{
  const ReadRange range{ *aPosition.mNext, kReadWait };
  auto page = co_await aStore.Read(aStream, range, kReadTimeout);
  if (!base::IsOk(page)) {
    co_await ReportFailure(aPosition, aStream, base::ErrorOf(page), aHandlers);
    co_return;
  }
  StreamPage read = base::TakeValue(std::move(page));
  if (read.mExpired) {
    aPosition.mNext.reset();
    co_return;
  }
  aPosition.mNext = read.mNext;
  aPosition.mFailing = false;
  for (StreamRecord& record : read.mRecords) {
    aHandlers.mOnRecord(std::move(record));
  }
  aHandlers.mOnCurrent();
}

boost::asio::awaitable<void>
FollowStream(LogStore& aStore, StreamName aStream, FollowerHandlers aHandlers)
{
  Position position;
  for (;;) {
    if (position.mNext) {
      co_await ReadChanges(aStore, aStream, position, aHandlers);
    } else {
      co_await ReadSnapshot(aStore, aStream, position, aHandlers);
    }
  }
}

}

#include "store_paths.h"

#include "elapsed.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <type_traits>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// Backoff of a failing path, doubled up to the maximum: refused calls have a cost too, but turns
// are refused for as long after the store's return.
static constexpr Millis kInitialBackoff{ 100 };
static constexpr Millis kMaxBackoff{ 250 };
static constexpr uint32_t kMaxDoublings = 2;
// Timeout of a call on a path that failed before. An unresponsive path must not delay the others
// for long; a remote store answers within 80 ms.
static constexpr Millis kProbeTimeout{ 350 };
// A peer's report of a store failure is valid for this long; peers are queried at least as often.
static constexpr Millis kPeerReportValidity{ 2000 };
// Timeout of a read from an aggregator's memory, half of which it may wait for records. A frozen
// aggregator is noticed after this time.
static constexpr Millis kAggregatorTimeout{ 400 };
// Timeout of a question for a text. The store answers within 80 ms, gateways of the same region
// within some milliseconds.
static constexpr Millis kTextTimeout{ 100 };
// Peers that one call is tried through.
static constexpr size_t kPeersPerCall = 2;

StorePaths::StorePaths(const boost::asio::any_io_executor& aExecutor,
                       std::unique_ptr<LogStore> aDirect,
                       Member aOwn)
  : mExecutor(aExecutor)
  , mOwnInstance(aOwn.mInstance)
  , mDirect(std::make_shared<Path>())
  , mDirectStore(*this, Route::Direct)
  , mUnaggregatedStore(*this, Route::AnyPath)
  , mAggregators(aExecutor, std::move(aOwn))
  , mLastSuccess(base::Clock::now())
{
  mDirect->mStore = std::move(aDirect);
}

void
StorePaths::SetMembers(const std::vector<Member>& aMembers)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return std::none_of(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
      return aMember.mInstance == aEntry.first && aMember.mPeer == aEntry.second.first;
    });
  });
  mWriters.clear();
  for (const Member& member : aMembers) {
    if (member.mInstance == mOwnInstance) {
      continue;
    }
    auto& [endpoint, path] = mPeers[member.mInstance];
    if (!path) {
      endpoint = member.mPeer;
      path = std::make_shared<Path>();
      auto peer = std::make_unique<RelayClient>(mExecutor, member.mPeer);
      path->mPeer = peer.get();
      path->mStore = std::move(peer);
    }
    mWriters[WriterHash(member.mInstance)] = path;
  }
  mAggregators.SetMembers(aMembers);
  if (mOnMembersChanged) {
    mOnMembersChanged(aMembers);
  }
}

bool
StorePaths::DownForAll() const
{
  return !mReachable && mLastPeerFailure &&
         base::Clock::now() - *mLastPeerFailure < kPeerReportValidity;
}

Millis
StorePaths::SinceSuccess() const
{
  return Since(mLastSuccess);
}

// Whether a call may use aPath now. On a failing path, an allowed call blocks others until the
// backoff has passed.
template<typename Path>
static bool
AllowCall(Path& aPath)
{
  if (aPath.mFailures == 0) {
    return true;
  }
  const base::TimePoint now = base::Clock::now();
  if (now < aPath.mNextAttempt) {
    return false;
  }
  const uint32_t doublings = std::min(aPath.mFailures - 1, kMaxDoublings);
  aPath.mNextAttempt = now + std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
  return true;
}

template<typename T>
LogStore::Async<T>
StorePaths::OnPath(Path& aPath, const Operation<T>& aOperation, Millis aTimeout)
{
  const Millis timeout = aPath.mFailures > 0 ? std::min(aTimeout, kProbeTimeout) : aTimeout;
  auto result = co_await aOperation(*aPath.mStore, timeout);
  if (base::IsOk(result)) {
    aPath.mFailures = 0;
  } else {
    ++aPath.mFailures;
  }
  co_return result;
}

template<typename T>
LogStore::Async<T>
StorePaths::OnDirect(Operation<T> aOperation, Millis aTimeout)
{
  if (!AllowCall(*mDirect)) {
    co_return base::Error{ ErrorKind::LogUnavailable,
                           "the direct path to the store is failing",
                           "" };
  }
  const bool wasWorking = mDirect->mFailures == 0;
  auto result = co_await OnPath<T>(*mDirect, aOperation, aTimeout);
  const bool isWorking = mDirect->mFailures == 0;
  if (isWorking != wasWorking) {
    base::Log(isWorking ? base::LogEvent::LogAppendRecovered : base::LogEvent::LogAppendFailed,
              "path=direct {}",
              isWorking ? "works again" : base::ErrorOf(result).mMessage);
  }
  co_return result;
}

std::vector<std::shared_ptr<StorePaths::Path>>
StorePaths::PeersToTry()
{
  std::vector<std::shared_ptr<Path>> paths;
  const auto add = [&](const auto& aEntry) {
    if (paths.size() < kPeersPerCall && AllowCall(*aEntry.second.second)) {
      paths.push_back(aEntry.second.second);
    }
  };
  const auto last = mPeers.find(mLastPeer);
  if (last != mPeers.end()) {
    add(*last);
  }
  for (const auto& entry : mPeers) {
    if (entry.first != mLastPeer) {
      add(entry);
    }
  }
  return paths;
}

template<typename T>
LogStore::Async<T>
StorePaths::OnAnyPath(Operation<T> aOperation, Millis aTimeout)
{
  auto result = co_await OnDirect<T>(aOperation, aTimeout);
  // A call that may have had its effect on one path is safe to repeat on another: see RecordWriter.
  bool mayHaveEffect = false;
  if (!base::IsOk(result)) {
    mayHaveEffect = base::ErrorOf(result).mKind == ErrorKind::OutcomeUnknown;
    for (const std::shared_ptr<Path>& path : PeersToTry()) {
      result = co_await OnPath<T>(*path, aOperation, aTimeout);
      if (base::IsOk(result)) {
        const auto peer = std::find_if(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
          return aEntry.second.second == path;
        });
        mLastPeer = peer == mPeers.end() ? "" : peer->first;
        break;
      }
      mayHaveEffect = mayHaveEffect || base::ErrorOf(result).mKind == ErrorKind::OutcomeUnknown;
      if (base::ErrorOf(result).mKind == ErrorKind::LogUnavailable) {
        mLastPeerFailure = base::Clock::now();
      }
    }
  }
  if (base::IsOk(result)) {
    NoteSuccess();
    co_return result;
  }
  mReachable = false;
  base::Error error = base::ErrorOf(result);
  error.mKind = mayHaveEffect ? ErrorKind::OutcomeUnknown : ErrorKind::LogUnavailable;
  co_return error;
}

void
StorePaths::NoteSuccess()
{
  mReachable = true;
  mLastSuccess = base::Clock::now();
}

template<typename T>
LogStore::Async<T>
StorePaths::OnAggregator(std::shared_ptr<AggregatorPaths::Path> aAggregator,
                         Operation<T> aOperation,
                         Millis aAggregatorTimeout,
                         Millis aTimeout)
{
  auto result = co_await aOperation(aAggregator->Store(), aAggregatorTimeout);
  if (base::IsOk(result)) {
    mAggregators.NoteSuccess(*aAggregator);
    co_return result;
  }
  // Reads tell a silent aggregator from one that reports a failure of the store.
  const ErrorKind kind = base::ErrorOf(result).mKind;
  const bool silent = std::is_same_v<T, StreamPage> && kind != ErrorKind::LogUnavailable;
  mAggregators.NoteFailure(*aAggregator, silent);
  if (aAggregator->mLocal != nullptr) {
    co_return result; // It has tried the other paths.
  }
  result = co_await OnAnyPath<T>(aOperation, aTimeout);
  if (!base::IsOk(result) && kind == ErrorKind::OutcomeUnknown) {
    base::Error error = base::ErrorOf(result);
    error.mKind = ErrorKind::OutcomeUnknown;
    co_return error;
  }
  co_return result;
}

template<typename T>
LogStore::Async<T>
StorePaths::On(Route aRoute, Operation<T> aOperation, Millis aTimeout)
{
  return aRoute == Route::Direct ? OnDirect<T>(std::move(aOperation), aTimeout)
                                 : OnAnyPath<T>(std::move(aOperation), aTimeout);
}

// The calls as operations that can run on any path.
static StorePaths::Operation<Appended>
AppendOperation(StreamId aStream, std::vector<std::string> aRecords)
{
  return [aStream, records = std::move(aRecords)](LogStore& aStore, Millis aLimit) {
    return aStore.Append(aStream, records, aLimit);
  };
}

static StorePaths::Operation<Appended>
PutOperation(StreamId aStream, std::string aKey, std::string aValue)
{
  return [aStream, key = std::move(aKey), value = std::move(aValue)](
           LogStore& aStore, Millis aLimit) { return aStore.Put(aStream, key, value, aLimit); };
}

static StorePaths::Operation<StreamPage>
ReadOperation(StreamId aStream, ReadRange aRange)
{
  return [aStream, aRange](LogStore& aStore, Millis aLimit) {
    // A wait as long as the timeout would look like an unresponsive path.
    ReadRange range = aRange;
    range.mWait = std::min(range.mWait, aLimit / 2);
    return aStore.Read(aStream, range, aLimit);
  };
}

static StorePaths::Operation<StreamSnapshot>
NewestOperation(StreamId aStream)
{
  return [aStream](LogStore& aStore, Millis aLimit) { return aStore.Newest(aStream, aLimit); };
}

LogStore::Async<Appended>
StorePaths::Append(StreamId aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  auto operation = AppendOperation(aStream, std::move(aRecords));
  if (auto aggregator = mAggregators.For(aStream)) {
    auto result =
      co_await OnAggregator<Appended>(std::move(aggregator), operation, aTimeout, aTimeout);
    if (base::IsOk(result)) {
      NoteSuccess(); // The store has acknowledged the records.
    }
    co_return result;
  }
  co_return co_await OnAnyPath<Appended>(operation, aTimeout);
}

LogStore::Async<Appended>
StorePaths::Put(StreamId aStream, std::string aKey, std::string aValue, Millis aTimeout)
{
  return OnAnyPath(PutOperation(aStream, std::move(aKey), std::move(aValue)), aTimeout);
}

LogStore::Async<StreamPage>
StorePaths::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  const bool mayBeShared = aStream.mName == StreamName::Programs && !aRange.mStoreOnly;
  auto aggregator = mayBeShared ? mAggregators.For(aStream) : nullptr;
  if (!aggregator || aggregator->mLocal != nullptr) {
    co_return co_await OnAnyPath<StreamPage>(ReadOperation(aStream, aRange), aTimeout);
  }
  if (aRange.mFresh) {
    co_return co_await OnAggregator<StreamPage>(
      std::move(aggregator), ReadOperation(aStream, aRange), aTimeout, aTimeout);
  }
  // Answered from the memory of a gateway in the same failure domain.
  const Millis limit = std::min(aTimeout, kAggregatorTimeout);
  co_return co_await OnAggregator<StreamPage>(
    std::move(aggregator), ReadOperation(aStream, aRange), limit, aTimeout);
}

LogStore::Async<StreamSnapshot>
StorePaths::Newest(StreamId aStream, Millis aTimeout)
{
  return OnAnyPath(NewestOperation(aStream), aTimeout);
}

boost::asio::awaitable<std::optional<std::string>>
StorePaths::TextFrom(uint32_t aWriter, std::string aAttempt)
{
  const auto writer = mWriters.find(aWriter);
  if (writer == mWriters.end() || !AllowCall(*writer->second)) {
    co_return std::nullopt;
  }
  const std::shared_ptr<Path> path = writer->second;
  auto answer = co_await path->mPeer->Text(std::move(aAttempt), kTextTimeout);
  if (!base::IsOk(answer)) {
    ++path->mFailures;
    co_return std::nullopt;
  }
  path->mFailures = 0;
  co_return base::TakeValue(std::move(answer));
}

LogStore::Async<Appended>
StorePaths::RoutedStore::Append(StreamId aStream,
                                std::vector<std::string> aRecords,
                                Millis aTimeout)
{
  return mPaths.On<Appended>(mRoute, AppendOperation(aStream, std::move(aRecords)), aTimeout);
}

LogStore::Async<Appended>
StorePaths::RoutedStore::Put(StreamId aStream,
                             std::string aKey,
                             std::string aValue,
                             Millis aTimeout)
{
  auto operation = PutOperation(aStream, std::move(aKey), std::move(aValue));
  return mPaths.On<Appended>(mRoute, std::move(operation), aTimeout);
}

LogStore::Async<StreamPage>
StorePaths::RoutedStore::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  return mPaths.On<StreamPage>(mRoute, ReadOperation(aStream, aRange), aTimeout);
}

LogStore::Async<StreamSnapshot>
StorePaths::RoutedStore::Newest(StreamId aStream, Millis aTimeout)
{
  return mPaths.On<StreamSnapshot>(mRoute, NewestOperation(aStream), aTimeout);
}

}

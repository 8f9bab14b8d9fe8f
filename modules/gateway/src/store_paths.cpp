#include "store_paths.h"

#include "elapsed.h"

#include "sycamore/base/log.h"

#include <algorithm>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// Backoff of a failing path, doubled up to the maximum: refused calls have a cost too.
static constexpr Millis kInitialBackoff{ 100 };
static constexpr Millis kMaxBackoff{ 600 };
static constexpr uint32_t kMaxDoublings = 3;
// Timeout of a call on a path that failed before. An unresponsive path must not delay the others
// for long; a remote store answers within 80 ms.
static constexpr Millis kProbeTimeout{ 350 };
// A peer's report of a store failure is valid for this long; peers are queried at least as often.
static constexpr Millis kPeerReportValidity{ 2000 };
// Peers that one call is tried through.
static constexpr size_t kPeersPerCall = 2;

StorePaths::StorePaths(const boost::asio::any_io_executor& aExecutor,
                       std::unique_ptr<LogStore> aDirect)
  : mExecutor(aExecutor)
  , mDirect(std::make_shared<Path>())
  , mDirectStore(*this)
  , mLastSuccess(base::Clock::now())
{
  mDirect->mStore = std::move(aDirect);
}

void
StorePaths::SetPeers(const std::map<std::string, http::Endpoint>& aPeers)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const auto peer = aPeers.find(aEntry.first);
    return peer == aPeers.end() || peer->second != aEntry.second.first;
  });
  for (const auto& [instance, endpoint] : aPeers) {
    if (!mPeers.contains(instance)) {
      auto path = std::make_shared<Path>();
      path->mStore = std::make_unique<RelayClient>(mExecutor, endpoint);
      mPeers.emplace(instance, std::make_pair(endpoint, std::move(path)));
    }
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
    mReachable = true;
    mLastSuccess = base::Clock::now();
    co_return result;
  }
  mReachable = false;
  base::Error error = base::ErrorOf(result);
  error.mKind = mayHaveEffect ? ErrorKind::OutcomeUnknown : ErrorKind::LogUnavailable;
  co_return error;
}

// The calls as operations that can run on any path.
static StorePaths::Operation<uint64_t>
AppendOperation(StreamId aStream, std::vector<std::string> aRecords)
{
  return [aStream, records = std::move(aRecords)](LogStore& aStore, Millis aLimit) {
    return aStore.Append(aStream, records, aLimit);
  };
}

static StorePaths::Operation<uint64_t>
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

LogStore::Async<uint64_t>
StorePaths::Append(StreamId aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  return OnAnyPath(AppendOperation(aStream, std::move(aRecords)), aTimeout);
}

LogStore::Async<uint64_t>
StorePaths::Put(StreamId aStream, std::string aKey, std::string aValue, Millis aTimeout)
{
  return OnAnyPath(PutOperation(aStream, std::move(aKey), std::move(aValue)), aTimeout);
}

LogStore::Async<StreamPage>
StorePaths::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  return OnAnyPath(ReadOperation(aStream, aRange), aTimeout);
}

LogStore::Async<StreamSnapshot>
StorePaths::Newest(StreamId aStream, Millis aTimeout)
{
  return OnAnyPath(NewestOperation(aStream), aTimeout);
}

LogStore::Async<uint64_t>
StorePaths::DirectStore::Append(StreamId aStream,
                                std::vector<std::string> aRecords,
                                Millis aTimeout)
{
  return mPaths.OnDirect(AppendOperation(aStream, std::move(aRecords)), aTimeout);
}

LogStore::Async<uint64_t>
StorePaths::DirectStore::Put(StreamId aStream,
                             std::string aKey,
                             std::string aValue,
                             Millis aTimeout)
{
  return mPaths.OnDirect(PutOperation(aStream, std::move(aKey), std::move(aValue)), aTimeout);
}

LogStore::Async<StreamPage>
StorePaths::DirectStore::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  return mPaths.OnDirect(ReadOperation(aStream, aRange), aTimeout);
}

LogStore::Async<StreamSnapshot>
StorePaths::DirectStore::Newest(StreamId aStream, Millis aTimeout)
{
  return mPaths.OnDirect(NewestOperation(aStream), aTimeout);
}

}

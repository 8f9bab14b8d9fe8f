#pragma once

#include "aggregator_paths.h"
#include "member.h"
#include "relay_client.h"
#include "sycamore/base/clock.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/http/endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::gateway {

// Accesses the store over any path that works: through the aggregator of the partition, directly,
// or through another gateway while the platform refuses this instance or cannot be reached from it.
// While no path works, calls fail at once, and only a few of them probe whether a path has
// recovered. Lives on one event loop.
class StorePaths : public LogStore
{
public:
  // A call that runs on the given store within the given timeout.
  template<typename T>
  using Operation = std::function<Async<T>(LogStore&, base::Millis)>;

  // aOwn is this gateway.
  StorePaths(const boost::asio::any_io_executor& aExecutor,
             std::unique_ptr<LogStore> aDirect,
             Member aOwn);

  // Probes aggregators that have failed until the event loop ends.
  boost::asio::awaitable<void> Run() { return mAggregators.Run(); }

  // Sets the gateways of the deployment.
  void SetMembers(const std::vector<Member>& aMembers);

  // Sets a function that runs after each SetMembers.
  void OnMembersChanged(std::function<void(const std::vector<Member>&)> aHandler)
  {
    mOnMembersChanged = std::move(aHandler);
  }

  // Sets what serves the partitions that this gateway aggregates. aAggregator outlives this object.
  void SetAggregator(LogStore& aAggregator) { mAggregators.SetLocal(aAggregator); }

  // Whether this gateway is an aggregator of aStream, or the first to replace it.
  bool IsAggregatorCandidate(StreamId aStream) { return mAggregators.IsCandidate(aStream); }

  // The aggregator that calls on aStream go through now; null if they go to the store.
  std::shared_ptr<const AggregatorPaths::Path> AggregatorOf(StreamId aStream)
  {
    return mAggregators.For(aStream);
  }

  // The direct path, on which the calls of peers run.
  LogStore& DirectForPeers() { return mDirectStore; }

  // All paths but those through aggregators, on which the calls of an aggregator run.
  LogStore& ForAggregator() { return mUnaggregatedStore; }

  // Asks the gateway whose instance has the hash aWriter for the text of a turn. Nothing if there
  // is no such gateway, if it does not answer in time, or if it no longer has the text in memory.
  boost::asio::awaitable<std::optional<std::string>> TextFrom(uint32_t aWriter,
                                                              std::string aAttempt);

  // Whether the last call succeeded on any path.
  bool Reachable() const { return mReachable; }

  // Whether the store appears to be down for all instances: this one cannot reach it, and a peer
  // has recently reported that it cannot either.
  bool DownForAll() const;

  // Time since the last call that succeeded on any path.
  base::Millis SinceSuccess() const;

  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<Appended> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override;
  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;
  Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

private:
  // A path to the store with the failure state of its calls.
  struct Path
  {
    std::unique_ptr<LogStore> mStore;
    RelayClient* mPeer = nullptr; // mStore, unless it is the direct path.
    uint32_t mFailures = 0;       // Consecutive.
    base::TimePoint mNextAttempt; // While failing: earliest next call.
  };

  // The paths that a call may take.
  enum class Route : uint8_t
  {
    Direct, // Refused at once during the backoff of a failing path.
    AnyPath,
  };

  // A store whose calls take aRoute.
  class RoutedStore : public LogStore
  {
  public:
    RoutedStore(StorePaths& aPaths, Route aRoute)
      : mPaths(aPaths)
      , mRoute(aRoute)
    {
    }
    Async<Appended> Append(StreamId aStream,
                           std::vector<std::string> aRecords,
                           base::Millis aTimeout) override;
    Async<Appended> Put(StreamId aStream,
                        std::string aKey,
                        std::string aValue,
                        base::Millis aTimeout) override;
    Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;
    Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

  private:
    StorePaths& mPaths;
    Route mRoute;
  };

  template<typename T>
  Async<T> On(Route aRoute, Operation<T> aOperation, base::Millis aTimeout);
  // Through aAggregator, and on any other path if that fails.
  template<typename T>
  Async<T> OnAggregator(std::shared_ptr<AggregatorPaths::Path> aAggregator,
                        Operation<T> aOperation,
                        base::Millis aAggregatorTimeout,
                        base::Millis aTimeout);
  template<typename T>
  Async<T> OnAnyPath(Operation<T> aOperation, base::Millis aTimeout);
  template<typename T>
  Async<T> OnDirect(Operation<T> aOperation, base::Millis aTimeout);
  template<typename T>
  Async<T> OnPath(Path& aPath, const Operation<T>& aOperation, base::Millis aTimeout);
  std::vector<std::shared_ptr<Path>> PeersToTry();
  void NoteSuccess();

  boost::asio::any_io_executor mExecutor;
  const std::string mOwnInstance;
  std::shared_ptr<Path> mDirect;
  std::map<std::string, std::pair<http::Endpoint, std::shared_ptr<Path>>> mPeers;
  std::string mLastPeer; // Instance through which the last relayed call succeeded.
  RoutedStore mDirectStore;
  RoutedStore mUnaggregatedStore;
  AggregatorPaths mAggregators;
  std::map<uint32_t, std::shared_ptr<Path>> mWriters; // Of mPeers, by the hash of the instance.
  std::function<void(const std::vector<Member>&)> mOnMembersChanged;
  bool mReachable = true;
  base::TimePoint mLastSuccess;
  std::optional<base::TimePoint> mLastPeerFailure; // Of the store, as reported by a peer.
};

}

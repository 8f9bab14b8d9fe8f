#pragma once

#include "relay_client.h"
#include "sycamore/base/clock.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/http/endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::gateway {

// Accesses the store over any path that works: directly, or through another gateway while the
// platform refuses this instance or cannot be reached from it. While no path works, calls fail at
// once, and only a few of them probe whether a path has recovered. Lives on one event loop.
class StorePaths : public LogStore
{
public:
  // A call that runs on the given store within the given timeout.
  template<typename T>
  using Operation = std::function<Async<T>(LogStore&, base::Millis)>;

  StorePaths(const boost::asio::any_io_executor& aExecutor, std::unique_ptr<LogStore> aDirect);

  // Sets the other gateways, by instance.
  void SetPeers(const std::map<std::string, http::Endpoint>& aPeers);

  // The direct path, on which the calls of peers run.
  LogStore& DirectForPeers() { return mDirectStore; }

  // Whether the last call succeeded on any path.
  bool Reachable() const { return mReachable; }

  // Whether the store appears to be down for all instances: this one cannot reach it, and a peer
  // has recently reported that it cannot either.
  bool DownForAll() const;

  // Time since the last call that succeeded on any path.
  base::Millis SinceSuccess() const;

  Async<uint64_t> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<uint64_t> Put(StreamId aStream,
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
    uint32_t mFailures = 0;       // Consecutive.
    base::TimePoint mNextAttempt; // While failing: earliest next call.
  };

  // The direct path for peers: refuses calls at once during the backoff of a failing path.
  class DirectStore : public LogStore
  {
  public:
    explicit DirectStore(StorePaths& aPaths)
      : mPaths(aPaths)
    {
    }
    Async<uint64_t> Append(StreamId aStream,
                           std::vector<std::string> aRecords,
                           base::Millis aTimeout) override;
    Async<uint64_t> Put(StreamId aStream,
                        std::string aKey,
                        std::string aValue,
                        base::Millis aTimeout) override;
    Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;
    Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

  private:
    StorePaths& mPaths;
  };

  template<typename T>
  Async<T> OnAnyPath(Operation<T> aOperation, base::Millis aTimeout);
  template<typename T>
  Async<T> OnDirect(Operation<T> aOperation, base::Millis aTimeout);
  template<typename T>
  Async<T> OnPath(Path& aPath, const Operation<T>& aOperation, base::Millis aTimeout);
  std::vector<std::shared_ptr<Path>> PeersToTry();

  boost::asio::any_io_executor mExecutor;
  std::shared_ptr<Path> mDirect;
  std::map<std::string, std::pair<http::Endpoint, std::shared_ptr<Path>>> mPeers;
  std::string mLastPeer; // Instance through which the last relayed call succeeded.
  DirectStore mDirectStore;
  bool mReachable = true;
  base::TimePoint mLastSuccess;
  std::optional<base::TimePoint> mLastPeerFailure; // Of the store, as reported by a peer.
};

}

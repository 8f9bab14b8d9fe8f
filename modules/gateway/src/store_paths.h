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

// The store over whichever way works: directly, or through another gateway while the platform
// refuses this machine or cannot be reached from it. While no way works, calls fail at once and
// only few are spent on finding out when one works again. Lives on one event loop.
class StorePaths : public LogStore
{
public:
  // A call that runs on the store that it is given, within the time limit.
  template<typename T>
  using Operation = std::function<Async<T>(LogStore&, base::Millis)>;

  StorePaths(const boost::asio::any_io_executor& aExecutor, std::unique_ptr<LogStore> aDirect);

  // Sets the other gateways, by instance.
  void SetPeers(const std::map<std::string, http::Endpoint>& aPeers);

  // The way that does not go through others; what peers are served with.
  LogStore& DirectForPeers() { return mGuarded; }

  // Whether the last calls succeeded on some way.
  bool Reachable() const { return mReachable; }

  // Whether the store seems to be away for all machines: it cannot be reached, and another gateway
  // that was asked could not reach it either.
  bool DownForAll() const;

  // Time since the last call that succeeded, on any way.
  base::Millis SinceSuccess() const;

  Async<uint64_t> Append(StreamName aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<uint64_t> Put(StreamName aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override;
  Async<StreamPage> Read(StreamName aStream, ReadRange aRange, base::Millis aTimeout) override;
  Async<StreamSnapshot> Newest(StreamName aStream, base::Millis aTimeout) override;

private:
  // One way to the store, with what calls on it have shown.
  struct Path
  {
    std::unique_ptr<LogStore> mStore;
    uint32_t mFailures = 0;   // Consecutive.
    base::TimePoint mNextTry; // While failing: earliest next call.
  };

  // The direct path for peers: refuses at once while it is known to fail.
  class Guarded : public LogStore
  {
  public:
    explicit Guarded(StorePaths& aPaths)
      : mPaths(aPaths)
    {
    }
    Async<uint64_t> Append(StreamName aStream,
                           std::vector<std::string> aRecords,
                           base::Millis aTimeout) override;
    Async<uint64_t> Put(StreamName aStream,
                        std::string aKey,
                        std::string aValue,
                        base::Millis aTimeout) override;
    Async<StreamPage> Read(StreamName aStream, ReadRange aRange, base::Millis aTimeout) override;
    Async<StreamSnapshot> Newest(StreamName aStream, base::Millis aTimeout) override;

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
  std::string mLastPeer; // Instance through which the last call succeeded.
  Guarded mGuarded;
  bool mReachable = true;
  base::TimePoint mLastSuccess;
  std::optional<base::TimePoint> mLastPeerFailure; // Reported by a peer that could be reached.
};

}

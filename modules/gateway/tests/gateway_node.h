#pragma once

#include "aggregator.h"
#include "fact_exchange.h"
#include "fake_log_store.h"
#include "relay_server.h"
#include "shared_facts.h"
#include "store_paths.h"
#include "usage_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::gateway {

// The access of one gateway to a log that several share; it can fail for this gateway alone.
class NodeStore : public LogStore
{
public:
  explicit NodeStore(FakeLogStore& aShared)
    : mShared(aShared)
  {
  }

  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override
  {
    ++mAppends;
    if (mDown) {
      co_return Refused();
    }
    auto appended = co_await mShared.Append(aStream, std::move(aRecords), aTimeout);
    co_return appended;
  }

  Async<Appended> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override
  {
    return mShared.Put(aStream, std::move(aKey), std::move(aValue), aTimeout);
  }

  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override
  {
    ++mReads;
    if (mDown) {
      co_return Refused();
    }
    auto page = co_await mShared.Read(aStream, aRange, aTimeout);
    co_return page;
  }

  Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override
  {
    return mShared.Newest(aStream, aTimeout);
  }

  bool mDown = false;
  int mReads = 0;
  int mAppends = 0;

private:
  static base::Error Refused() { return { base::ErrorKind::LogUnavailable, "down", "" }; }

  FakeLogStore& mShared;
};

// The parts of a gateway that read and append to the programs' stream, with a port for others.
struct GatewayNode
{
  GatewayNode(boost::asio::io_context& aLoop,
              FakeLogStore& aShared,
              const std::string& aInstance,
              uint32_t aLinkMbits,
              uint32_t aPartitions,
              const std::string& aDomain = "zone-a")
    : mLoop(aLoop)
    , mAcceptor(aLoop, { boost::asio::ip::address_v4::loopback(), 0 })
    , mOwn{ aInstance, { "127.0.0.1", mAcceptor.local_endpoint().port() }, aDomain, aLinkMbits }
    , mStore(new NodeStore(aShared))
    , mPaths(aLoop.get_executor(), std::unique_ptr<LogStore>(mStore), mOwn)
    , mLogs(aLoop.get_executor(), mPaths, aPartitions)
    , mAggregator(aLoop.get_executor(), mPaths.ForAggregator(), mLogs)
    , mFacts(aLoop.get_executor())
    , mExchange(aLoop.get_executor(), mFacts, mOwn, [this] { return mStopping; })
    , mUsage({ base::Millis(5000), 20 }, aInstance)
    , mUsageExchange(aLoop.get_executor(),
                     mExchange,
                     mUsage,
                     { base::Millis(5000), 20 },
                     mOwn,
                     [this] { return &mAccounts; })
    , mServices{ mPaths.DirectForPeers(),
                 mAggregator,
                 [this] { return mStopping; },
                 [](const std::string&) { return std::optional<std::string>(); },
                 [this](const wire::RelayRequestT& aRequest) { return ServeFacts(aRequest); },
                 [this](const wire::RelayRequestT& aRequest) { return ServeUsage(aRequest); } }
  {
    mPaths.SetAggregator(mAggregator);
    for (uint32_t i = 0; i < aPartitions; ++i) {
      mLogs.At(i).SetKeptBytes(size_t{ 1 } << 20);
    }
    Spawn(Serve());
    Spawn(mPaths.Run());
  }

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(mLoop, std::move(aTask), boost::asio::detached);
  }

  // Loads the history as a gateway that starts does.
  void Start()
  {
    std::set<uint32_t> aggregated;
    for (uint32_t i = 0; i < mLogs.PartitionCount(); ++i) {
      if (mPaths.IsAggregatorCandidate({ StreamName::Programs, i })) {
        aggregated.insert(i);
      }
    }
    Spawn(mLogs.Run(std::move(aggregated)));
  }

  boost::asio::awaitable<void> Serve()
  {
    for (;;) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      if (mSilent) {
        mHeld.push_back(std::move(socket)); // As a frozen process: accepted, never read.
        continue;
      }
      Spawn(ServeRelay(std::move(socket), mServices, { mConnections, mFrames }));
    }
  }

  boost::asio::awaitable<wire::RelayResponseT> ServeFacts(const wire::RelayRequestT& aRequest)
  {
    return mSilent ? NoAnswer() : mExchange.Serve(aRequest);
  }

  // A frozen process answers nothing; a failure ends the report sooner.
  wire::RelayResponseT ServeUsage(const wire::RelayRequestT& aRequest)
  {
    wire::RelayResponseT frozen;
    frozen.failure = "frozen";
    return mSilent ? frozen : mUsageExchange.Serve(aRequest);
  }

  static boost::asio::awaitable<wire::RelayResponseT> NoAnswer()
  {
    co_await SleepFor(base::Seconds(3600));
    co_return wire::RelayResponseT{};
  }

  boost::asio::io_context& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Member mOwn;
  NodeStore* mStore; // Owned by mPaths.
  StorePaths mPaths;
  ProgramLogs mLogs;
  Aggregator mAggregator;
  SharedFacts mFacts;
  FactExchange mExchange;
  accounts::AccountTable mAccounts;
  accounts::AccountUsage mUsage;
  UsageExchange mUsageExchange;
  const RelayServices mServices;
  MemoryAccount mFrames{ SIZE_MAX };
  http::ConnectionLimit mConnections{ "peers", SIZE_MAX, http::ConnectionLimit::Yields::Waiting };
  bool mStopping = false;
  bool mSilent = false;
  std::vector<boost::asio::ip::tcp::socket> mHeld;
};

}

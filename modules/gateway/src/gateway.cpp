#include "sycamore/gateway/gateway.h"

#include "aggregator.h"
#include "async.h"
#include "call_runner.h"
#include "caller_session.h"
#include "context.h"
#include "fact_exchange.h"
#include "measured_store.h"
#include "membership.h"
#include "relay_server.h"
#include "state_dump.h"
#include "stream_follower.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "sycamore/http/connection_limit.h"
#include "sycamore/programs/record_age.h"
#include "usage_exchange.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace sycamore::gateway {

using base::LogEvent;
using base::Millis;
using boost::asio::ip::tcp;

// The load balancer checks readiness once per second and removes a process after two failures.
static constexpr Millis kDrainNoticePeriod{ 2500 };
// How often the drain checks whether all sessions have ended.
static constexpr Millis kDrainPollInterval{ 20 };
// How long the end of the process waits until the rest of the budgets that it holds is returned.
static constexpr Millis kSettleTimeout{ 1000 };
// Delay after a failed accept, for example for lack of file descriptors.
static constexpr Millis kAcceptRetryDelay{ 50 };
static constexpr int kListenBacklog = 512;
// Longest head, and longest body, of requests to the readiness and metrics addresses, which need
// neither.
static constexpr size_t kMaxStatusBytes = 8192;
// Records kept of a partition for gateways that read them here: those of an aggregator serve
// gateways that load the history, those of others bridge a change of the aggregator.
static constexpr size_t kAggregatorKeptBytes = size_t{ 6 } << 20;
static constexpr size_t kKeptBytes = size_t{ 128 } << 10;
// How often the connections of replicas that are no longer listed are dropped.
static constexpr base::Seconds kCleanupInterval{ 5 };

class Gateway::Impl
{
public:
  Impl(const settings::Settings& aSettings, GatewayAdapters aAdapters)
    : mSettings(aSettings)
    , mAdapters(std::move(aAdapters))
    , mOwn{ mSettings.mInstance, mSettings.mPeer, mSettings.mDomain, mSettings.mLinkMbits }
    , mStore(
        mLoop.get_executor(),
        std::make_unique<MeasuredStore>(mAdapters.mMakeLogStore(mLoop.get_executor()), mMetrics),
        mOwn)
    , mContext(mLoop.get_executor(), mStore, *mAdapters.mHeaderCodec, mMetrics, mSettings)
    , mAggregator(mLoop.get_executor(), mStore.ForAggregator(), mContext.mPrograms)
    , mFactExchange(mLoop.get_executor(),
                    mContext.mFacts,
                    mOwn,
                    [this] { return mContext.mStopping; })
    , mUsageExchange(mLoop.get_executor(),
                     mFactExchange,
                     mContext.mUsage,
                     mSettings.mQuota,
                     mOwn,
                     [this] { return mContext.mRoutes ? &mContext.mRoutes->mAccounts : nullptr; })
    , mRelayServices{
      mStore.DirectForPeers(),
      mAggregator,
      [this] { return mContext.mStopping; },
      [this](const std::string& aAttempt) { return mContext.mTexts.FindRecord(aAttempt); },
      [this](const wire::RelayRequestT& aRequest) { return mFactExchange.Serve(aRequest); },
      [this](const wire::RelayRequestT& aRequest) { return mUsageExchange.Serve(aRequest); }
    }
    , mCallers(mLoop, "callers", mContext.mShares.mCallers, http::ConnectionLimit::Yields::Waiting)
    , mPeers(mLoop, "peers", mContext.mShares.mPeers, http::ConnectionLimit::Yields::Waiting)
    , mReadiness(mLoop, "readiness", mContext.mShares.mStatus, http::ConnectionLimit::Yields::All)
    , mStatus(mLoop, "metrics", mContext.mShares.mStatus, http::ConnectionLimit::Yields::All)
    , mCallerPolicy(CallerPolicy())
    , mReadinessPolicy(StatusPolicy(mReadiness))
    , mStatusPolicy(StatusPolicy(mStatus))
  {
    mStore.SetAggregator(mAggregator);
    mStore.OnMembersChanged([this](const std::vector<Member>& aMembers) {
      KeepRecordsForOthers();
      mFactExchange.SetMembers(aMembers);
      mUsageExchange.SetMembers(aMembers);
      mContext.mLimits.SetMembers(aMembers);
    });
    KeepRecordsForOthers();
    mContext.mRegion = mSettings.mRegion;
    mContext.mRegionOfDomain = mSettings.mRegionOfDomain;
    mContext.mTieBreak = base::StableHash(mSettings.mInstance);
    mCallHandler = [this](CallerLink& aLink, CallerRequest aRequest) {
      return RunCall(mContext, aLink, std::move(aRequest));
    };
    mReadinessHandler = [this](CallerLink& aLink, CallerRequest aRequest) {
      return AnswerReadiness(aLink, std::move(aRequest));
    };
    mStatusHandler = [this](CallerLink& aLink, CallerRequest aRequest) {
      return AnswerStatus(aLink, std::move(aRequest));
    };
  }

  base::Result<base::Unit> Start();
  void BeginDrain();
  bool Drained() const;
  void Stop();

private:
  // A listening address.
  struct Listener
  {
    Listener(boost::asio::io_context& aLoop,
             const char* aName,
             size_t aMaxConnections,
             http::ConnectionLimit::Yields aYields)
      : mAcceptor(aLoop)
      , mConnections(aName, aMaxConnections, aYields)
    {
    }

    tcp::acceptor mAcceptor;
    http::ConnectionLimit mConnections;
  };

  SessionPolicy CallerPolicy();
  SessionPolicy StatusPolicy(Listener& aListener);
  static base::Result<base::Unit> Bind(Listener& aListener, const http::Endpoint& aEndpoint);
  boost::asio::awaitable<void> Accept(Listener& aListener,
                                      const SessionPolicy& aPolicy,
                                      const CallHandler& aHandler);
  boost::asio::awaitable<void> AnswerReadiness(CallerLink& aLink, CallerRequest aRequest);
  boost::asio::awaitable<void> AnswerStatus(CallerLink& aLink, CallerRequest aRequest);
  boost::asio::awaitable<void> AcceptPeers();
  // The partitions of the programs' stream that this gateway aggregates, or is the first to take
  // over.
  std::set<uint32_t> AggregatedPartitions();
  // Keeps the records of partitions that other gateways may read here.
  void KeepRecordsForOthers();
  boost::asio::awaitable<void> RunPrograms();
  boost::asio::awaitable<void> Cleanup();
  boost::asio::awaitable<void> Drain();
  bool SessionsOpen() const;
  void Spawn(boost::asio::awaitable<void> aTask);
  void FollowConfiguration();
  void FollowReplicas();
  void ApplyConfiguration(const StreamRecord& aRecord);
  void WarnAboutRetention() const;
  void ApplyReplica(const StreamRecord& aRecord);
  void ApplyReplicas(const StreamSnapshot& aSnapshot);

  const settings::Settings mSettings;
  const GatewayAdapters mAdapters;
  boost::asio::io_context mLoop{ 1 };
  Metrics mMetrics;
  const Member mOwn;
  StorePaths mStore;
  Context mContext;
  Aggregator mAggregator;
  FactExchange mFactExchange;
  UsageExchange mUsageExchange;
  const RelayServices mRelayServices;
  Listener mCallers;
  Listener mPeers;
  Listener mReadiness;
  Listener mStatus; // Metrics and state dump.
  const SessionPolicy mCallerPolicy;
  const SessionPolicy mReadinessPolicy;
  const SessionPolicy mStatusPolicy;
  CallHandler mCallHandler;
  CallHandler mReadinessHandler;
  CallHandler mStatusHandler;
  std::vector<std::weak_ptr<CallerSession>> mSessions;
  std::thread mThread;
  std::atomic<bool> mDrained{ false };
};

SessionPolicy
Gateway::Impl::CallerPolicy()
{
  return { [this] { return mContext.mRoutes ? mContext.mRoutes->mLimits : CallerLimits{}; },
           [this] { return mContext.mStopping; },
           mContext.mBodies,
           mContext.mRequests,
           mCallers.mConnections };
}

SessionPolicy
Gateway::Impl::StatusPolicy(Listener& aListener)
{
  return { [this] {
            CallerLimits limits = mContext.mRoutes ? mContext.mRoutes->mLimits : CallerLimits{};
            limits.mMaxHeaderBytes = std::min(limits.mMaxHeaderBytes, kMaxStatusBytes);
            limits.mMaxBodyBytes = std::min(limits.mMaxBodyBytes, kMaxStatusBytes);
            return limits;
          },
           [this] { return mContext.mStopping; },
           mContext.mStatusRequests,
           mContext.mStatusRequests,
           aListener.mConnections };
}

base::Result<base::Unit>
Gateway::Impl::Bind(Listener& aListener, const http::Endpoint& aEndpoint)
{
  tcp::acceptor& acceptor = aListener.mAcceptor;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aEndpoint.mAddress, error);
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  if (!error) {
    acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return base::Error{ base::ErrorKind::InvalidSettings,
                        "cannot listen on " + ToString(aEndpoint) + ": " + error.message(),
                        "" };
  }
  return base::Unit{};
}

void
Gateway::Impl::Spawn(boost::asio::awaitable<void> aTask)
{
  boost::asio::co_spawn(mLoop, std::move(aTask), LogFailure{});
}

base::Result<base::Unit>
Gateway::Impl::Start()
{
  for (auto result : { Bind(mCallers, mSettings.mHttp),
                       Bind(mReadiness, *mSettings.mReadiness),
                       Bind(mPeers, mSettings.mPeer) }) {
    if (!base::IsOk(result)) {
      return result;
    }
  }
  if (mSettings.mMetrics) {
    auto bound = Bind(mStatus, *mSettings.mMetrics);
    if (!base::IsOk(bound)) {
      return bound;
    }
    Spawn(Accept(mStatus, mStatusPolicy, mStatusHandler));
  }
  Spawn(Accept(mCallers, mCallerPolicy, mCallHandler));
  Spawn(Accept(mReadiness, mReadinessPolicy, mReadinessHandler));
  FollowConfiguration();
  FollowReplicas();
  Spawn(RunPrograms());
  Spawn(mContext.mBudgets.Run());
  Spawn(mContext.mTexts.Run());
  Spawn(mFactExchange.Run());
  Spawn(mUsageExchange.Run());
  Spawn(Cleanup());
  Spawn(AcceptPeers());
  Spawn(KeepMembership(mStore, mOwn));
  Spawn(mStore.Run());
  mThread = std::thread([this] { mLoop.run(); });
  return base::Unit{};
}

boost::asio::awaitable<void>
Gateway::Impl::Accept(Listener& aListener,
                      const SessionPolicy& aPolicy,
                      const CallHandler& aHandler)
{
  for (;;) {
    auto [error, socket] = co_await aListener.mAcceptor.async_accept(kAsTuple);
    if (error == boost::asio::error::operation_aborted) {
      co_return; // The process is stopping.
    }
    if (error) {
      base::Log(LogEvent::HttpError, "accept failed: {}", error.message());
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    if (!aListener.mConnections.MakeRoom()) {
      RefuseConnection(std::move(socket));
      continue;
    }
    const auto session = std::make_shared<CallerSession>(std::move(socket), aPolicy, aHandler);
    if (&aListener == &mCallers) {
      std::erase_if(mSessions, [](const auto& aSession) { return aSession.expired(); });
      mSessions.push_back(session);
    }
    boost::asio::co_spawn(mLoop, session->Run(), LogFailure{});
  }
}

boost::asio::awaitable<void>
Gateway::Impl::AcceptPeers()
{
  for (;;) {
    auto [error, socket] = co_await mPeers.mAcceptor.async_accept(kAsTuple);
    if (error) {
      base::Log(LogEvent::HttpError, "accept of a peer connection failed: {}", error.message());
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    if (mPeers.mConnections.MakeRoom()) {
      boost::asio::co_spawn(
        mLoop,
        ServeRelay(std::move(socket), mRelayServices, { mPeers.mConnections, mContext.mFrames }),
        LogFailure{});
    }
  }
}

std::set<uint32_t>
Gateway::Impl::AggregatedPartitions()
{
  std::set<uint32_t> aggregated;
  for (uint32_t partition = 0; partition < mContext.mPrograms.PartitionCount(); ++partition) {
    if (mStore.IsAggregatorCandidate({ StreamName::Programs, partition })) {
      aggregated.insert(partition);
    }
  }
  return aggregated;
}

void
Gateway::Impl::KeepRecordsForOthers()
{
  const std::set<uint32_t> aggregated = AggregatedPartitions();
  for (uint32_t partition = 0; partition < mContext.mPrograms.PartitionCount(); ++partition) {
    const size_t bytes = aggregated.contains(partition) ? kAggregatorKeptBytes : kKeptBytes;
    mContext.mPrograms.At(partition).SetKeptBytes(bytes);
  }
}

boost::asio::awaitable<void>
Gateway::Impl::RunPrograms()
{
  // After a restart the history comes from the aggregators, if they can be found.
  const bool known = co_await ReadMembers(mStore);
  if (!known) {
    base::Log(LogEvent::LogReadFailed, "members: the history is loaded without aggregators");
  }
  std::set<uint32_t> aggregated = AggregatedPartitions();
  co_await mContext.mPrograms.Run(std::move(aggregated));
}

boost::asio::awaitable<void>
Gateway::Impl::AnswerReadiness(CallerLink& aLink, CallerRequest aRequest)
{
  const bool known = aRequest.target() == mAdapters.mHeaderCodec->ReadinessPath();
  WholeAnswer answer(boost::beast::http::status::ok, 11);
  if (!known) {
    answer =
      ErrorAnswer({ base::ErrorKind::UnknownRoute, "only readiness is served here", "" }, {});
  } else if (!mContext.Ready()) {
    answer = ErrorAnswer({ base::ErrorKind::Stopping, "not ready", "" }, {});
  }
  co_await aLink.SendWhole(std::move(answer));
}

boost::asio::awaitable<void>
Gateway::Impl::AnswerStatus(CallerLink& aLink, CallerRequest aRequest)
{
  WholeAnswer answer(boost::beast::http::status::ok, 11);
  if (aRequest.target() == "/metrics") {
    answer.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
    Gauges gauges = GaugesOf(mContext);
    gauges.mCallerConnections = mCallers.mConnections.Open();
    gauges.mPeerConnections = mPeers.mConnections.Open();
    for (const Listener* listener : { &mCallers, &mPeers, &mReadiness, &mStatus }) {
      gauges.mYieldedConnections += listener->mConnections.Yielded();
    }
    answer.body() = mMetrics.Text(gauges);
  } else if (aRequest.target() == "/dump") {
    answer.set(boost::beast::http::field::content_type, "application/json");
    answer.body() = DumpState(mContext);
  } else {
    answer =
      ErrorAnswer({ base::ErrorKind::UnknownRoute, "/metrics and /dump are served here", "" }, {});
  }
  co_await aLink.SendWhole(std::move(answer));
}

void
Gateway::Impl::FollowConfiguration()
{
  FollowerHandlers handlers;
  handlers.mOnSnapshot = [this](const StreamSnapshot& aSnapshot) {
    for (const StreamRecord& record : aSnapshot.mRecords) {
      ApplyConfiguration(record);
    }
  };
  handlers.mOnRecord = [this](const StreamRecord& aRecord) { ApplyConfiguration(aRecord); };
  handlers.mOnCurrent = [this] { mContext.mRoutesConfirmedAt = base::Clock::now(); };
  handlers.mOnFailure = [] {};
  Spawn(FollowStream(mStore, StreamName::Configuration, std::move(handlers)));
}

void
Gateway::Impl::ApplyConfiguration(const StreamRecord& aRecord)
{
  if (aRecord.mKey != mAdapters.mCodec->ConfigurationKey() || !aRecord.mValue) {
    return;
  }
  auto decoded = mAdapters.mCodec->DecodeConfiguration(*aRecord.mValue);
  const uint64_t current = mContext.mRoutes ? mContext.mRoutes->mVersion : 0;
  if (!base::IsOk(decoded)) {
    base::Log(LogEvent::EditRejected,
              "offset={} the configuration is invalid: {}; version {} stays in force",
              aRecord.mOffset,
              base::ErrorOf(decoded).mMessage,
              current);
    return;
  }
  RouteTable table = base::TakeValue(std::move(decoded));
  if (mContext.mRoutes && table.mVersion <= current) {
    return; // An older version never replaces a newer one.
  }
  base::Log(LogEvent::TableChanged,
            "version={} before={} routes={} services={} accounts={} keys={}",
            table.mVersion,
            current,
            table.mRoutes.size(),
            table.mServices.size(),
            table.mAccounts.mAccounts.size(),
            table.mAccounts.mKeys.Size());
  mContext.mRoutes = std::make_shared<const RouteTable>(std::move(table));
  mUsageExchange.OnAccountsChanged();
  WarnAboutRetention();
}

void
Gateway::Impl::WarnAboutRetention() const
{
  for (const Route& route : mContext.mRoutes->mRoutes) {
    const bool known = mSettings.mStoreRetention > Millis(0);
    if (known && route.mKeepsHistory &&
        !programs::CanBeKept(route.mRetention + route.mTimeout, mSettings.mStoreRetention)) {
      base::Log(LogEvent::RetentionTooLong,
                "route={} keeps_ms={} store_keeps_ms={}",
                route.mName,
                route.mRetention.count(),
                mSettings.mStoreRetention.count());
    }
  }
}

void
Gateway::Impl::FollowReplicas()
{
  FollowerHandlers handlers;
  handlers.mOnSnapshot = [this](const StreamSnapshot& aSnapshot) { ApplyReplicas(aSnapshot); };
  handlers.mOnRecord = [this](const StreamRecord& aRecord) { ApplyReplica(aRecord); };
  handlers.mOnCurrent = [this] { mContext.mReplicasConfirmedAt = base::Clock::now(); };
  handlers.mOnFailure = [this] { mContext.mReplicas.NoteStoreFailure(base::Clock::now()); };
  Spawn(FollowStream(mStore, StreamName::Replicas, std::move(handlers)));
}

void
Gateway::Impl::ApplyReplicas(const StreamSnapshot& aSnapshot)
{
  std::map<std::string, Replica> replicas;
  for (const StreamRecord& record : aSnapshot.mRecords) {
    if (!record.mValue) {
      continue;
    }
    if (auto replica = mAdapters.mCodec->DecodeReplica(record.mKey, *record.mValue)) {
      replicas.emplace(record.mKey, std::move(*replica));
    }
  }
  mContext.mReplicas.Replace(replicas, base::Clock::now());
}

void
Gateway::Impl::ApplyReplica(const StreamRecord& aRecord)
{
  auto replica =
    aRecord.mValue ? mAdapters.mCodec->DecodeReplica(aRecord.mKey, *aRecord.mValue) : std::nullopt;
  if (!replica || replica->mLeaving) {
    base::Log(replica ? LogEvent::InstanceLeaving : LogEvent::InstanceGone,
              "replica={} offset={}",
              aRecord.mKey,
              aRecord.mOffset);
  }
  mContext.mReplicas.Update(aRecord.mKey, std::move(replica), base::Clock::now());
}

boost::asio::awaitable<void>
Gateway::Impl::Cleanup()
{
  for (;;) {
    co_await SleepFor(kCleanupInterval);
    const std::vector<std::string> listed = mContext.mReplicas.Ids();
    mContext.mPool.Retain(listed);
    mContext.mLimits.Retain(listed);
    mContext.mSuspects.Expire(base::Clock::now());
  }
}

void
Gateway::Impl::BeginDrain()
{
  Spawn(Drain());
}

boost::asio::awaitable<void>
Gateway::Impl::Drain()
{
  mContext.mStopsAt = base::Clock::now() + mSettings.mDrainLimit;
  mContext.mStopping = true;
  co_await SleepFor(kDrainNoticePeriod);
  // No request is accepted from here on, since the end of the process could cut it off.
  boost::system::error_code ignored;
  mCallers.mAcceptor.close(ignored);
  for (const auto& weak : mSessions) {
    if (const auto session = weak.lock()) {
      session->CloseAfterCurrentCall();
    }
  }
  while (SessionsOpen()) {
    co_await SleepFor(kDrainPollInterval);
  }
  co_await mContext.mBudgets.SettleAll(base::Clock::now() + kSettleTimeout);
  mDrained = true;
}

bool
Gateway::Impl::SessionsOpen() const
{
  return std::any_of(
    mSessions.begin(), mSessions.end(), [](const auto& aSession) { return !aSession.expired(); });
}

bool
Gateway::Impl::Drained() const
{
  return mDrained;
}

void
Gateway::Impl::Stop()
{
  mLoop.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

Gateway::Gateway(const settings::Settings& aSettings, GatewayAdapters aAdapters)
  : mImpl(std::make_unique<Impl>(aSettings, std::move(aAdapters)))
{
}

Gateway::~Gateway()
{
  Stop();
}

base::Result<base::Unit>
Gateway::Start()
{
  return mImpl->Start();
}

void
Gateway::BeginDrain()
{
  mImpl->BeginDrain();
}

bool
Gateway::Drained() const
{
  return mImpl->Drained();
}

void
Gateway::Stop()
{
  mImpl->Stop();
}

}

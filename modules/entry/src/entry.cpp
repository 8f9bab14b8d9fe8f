#include "sycamore/entry/entry.h"

#include "instance_poller.h"
#include "live_effects.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "sycamore/base/ring.h"
#include "sycamore/base/timer_service.h"
#include "sycamore/entry/entry_core.h"

#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

namespace sycamore::entry {

using DumpPromise = std::shared_ptr<std::promise<std::string>>;
using RingItem = std::variant<CoreEvent, DumpPromise>;

// Capacity of the core's event queue. Callers' requests may fill only half of it, so that load from
// callers cannot crowd out events from peers and the log.
static constexpr size_t kRingCapacity = 16384;

static constexpr base::Millis kTickPeriod{ 50 };

// Time to send queued frames at shutdown, so that the last answers reach other entries.
static constexpr base::Millis kFlushTimeout{ 500 };

class Entry::Impl
{
public:
  Impl(settings::Settings aSettings, EntryAdapters aAdapters)
    : mSettings(std::move(aSettings))
    , mAdapters(std::move(aAdapters))
    , mIncarnation(base::RandomId())
    , mRing(kRingCapacity)
  {
  }

  ~Impl() { Stop(); }

  base::Result<base::Unit> Start();
  void BeginDrain();
  std::string Dump();
  void Stop();

  http::Endpoint mHttpEndpoint;
  http::Endpoint mPeerEndpoint;
  std::atomic<bool> mDrained{ false };

private:
  template<typename Event>
  bool Push(Event aEvent)
  {
    return mRing.TryPush(RingItem(CoreEvent(std::move(aEvent))));
  }

  bool PushRequest(http::Request aRequest);
  wire::HelloT MakeHello() const;
  void StartLogServices();
  void RunCore();
  void HandleItem(EntryCore& aCore, RingItem aItem);

  settings::Settings mSettings;
  EntryAdapters mAdapters;
  uint64_t mIncarnation;
  base::Ring<RingItem> mRing;
  std::optional<http::Server> mServer;
  std::optional<transport::PeerHub> mHub;
  std::optional<ledger::Ledger> mLedger;
  std::optional<table::TableService> mTable;
  std::optional<LiveEffects> mEffects;
  std::optional<base::TimerService> mTimer;
  std::optional<InstancePoller> mPoller;
  std::thread mCoreThread;
};

bool
Entry::Impl::PushRequest(http::Request aRequest)
{
  if (mRing.Size() >= kRingCapacity / 2) {
    base::Log(base::LogEvent::RingFull, "refused a request because the event queue is half full");
    return false;
  }
  return Push(std::move(aRequest));
}

wire::HelloT
Entry::Impl::MakeHello() const
{
  wire::HelloT hello;
  hello.role = wire::Role::Entry;
  hello.instance = mSettings.mInstance;
  hello.incarnation = mIncarnation;
  hello.region = mSettings.mRegion;
  hello.domain = mSettings.mDomain;
  hello.peer_address = http::ToString(mPeerEndpoint);
  return hello;
}

base::Result<base::Unit>
Entry::Impl::Start()
{
  http::ServerLimits limits;
  limits.mMaxBodyBytes = mSettings.mMaxBodyBytes;
  http::ServerHandlers handlers;
  handlers.mOnRequest = [this](http::Request aRequest) { return PushRequest(std::move(aRequest)); };
  handlers.mOnClosed = [this](uint64_t aRequest) { Push(RequestClosed{ aRequest }); };
  mPeerEndpoint = mSettings.mPeer;
  mServer.emplace(limits, std::move(handlers));
  mHub.emplace(transport::PeerHubSettings{}, MakeHello(), [this](transport::PeerEvent aEvent) {
    return Push(std::move(aEvent));
  });
  const base::Result<http::Endpoint> peer = mHub->Listen(mSettings.mPeer);
  if (!base::IsOk(peer)) {
    return base::ErrorOf(peer);
  }
  mPeerEndpoint = base::ValueOf(peer);
  mHub->Publish(MakeHello(), wire::HeartbeatT{});
  StartLogServices();
  mEffects.emplace(*mServer, *mHub, *mLedger, *mTable);
  mCoreThread = std::thread([this] { RunCore(); });
  mTimer.emplace();
  mTimer->Subscribe(kTickPeriod, [this] { Push(Tick{}); });
  mPoller.emplace(mSettings.mInstanceListPoll,
                  mAdapters.mReadInstances,
                  [this](InstancesRead aRead) { Push(std::move(aRead)); });
  const base::Result<http::Endpoint> bound = mServer->Listen(mSettings.mHttp);
  if (!base::IsOk(bound)) {
    return base::ErrorOf(bound);
  }
  mHttpEndpoint = base::ValueOf(bound);
  base::Log(base::LogEvent::HttpListening, "{}", http::ToString(mHttpEndpoint));
  return base::Unit{};
}

void
Entry::Impl::StartLogServices()
{
  ledger::LedgerSettings settings;
  settings.mAppendsPerSecond = mSettings.mAppendsPerSecond;
  settings.mMaxPendingBytes = mSettings.mMaxPendingBytes;
  mLedger.emplace(settings,
                  mIncarnation,
                  mAdapters.mMakeLogClient,
                  [this](ledger::LedgerEvent aEvent) { return Push(std::move(aEvent)); });
  mTable.emplace(mAdapters.mMakeLogClient(),
                 mSettings.mConfigPoll,
                 mSettings.mRetention,
                 [this](table::TableEvent aEvent) { return Push(std::move(aEvent)); });
}

void
Entry::Impl::RunCore()
{
  EntryCore core(
    mSettings, *mEffects, mIncarnation, http::ToString(mPeerEndpoint), base::Clock::now());
  while (!mRing.Closed()) {
    std::optional<RingItem> item = mRing.PopFor(kTickPeriod);
    if (item) {
      HandleItem(core, std::move(*item));
    }
    mDrained = core.Drained();
  }
}

void
Entry::Impl::HandleItem(EntryCore& aCore, RingItem aItem)
{
  if (auto* event = std::get_if<CoreEvent>(&aItem)) {
    aCore.Handle(std::move(*event), base::Clock::now());
  } else {
    std::get<DumpPromise>(aItem)->set_value(aCore.Dump());
  }
}

void
Entry::Impl::BeginDrain()
{
  while (!Push(DrainRequested{}) && !mRing.Closed()) {
    std::this_thread::sleep_for(kTickPeriod);
  }
}

std::string
Entry::Impl::Dump()
{
  const auto promise = std::make_shared<std::promise<std::string>>();
  std::future<std::string> text = promise->get_future();
  if (!mRing.TryPush(RingItem(promise)) ||
      text.wait_for(base::Seconds{ 1 }) != std::future_status::ready) {
    return "";
  }
  return text.get();
}

void
Entry::Impl::Stop()
{
  if (mTimer) {
    mTimer->Stop();
  }
  if (mPoller) {
    mPoller->Stop();
  }
  if (mServer) {
    mServer->StopAccepting();
  }
  mRing.Close();
  if (mCoreThread.joinable()) {
    mCoreThread.join();
  }
  if (mLedger) {
    mLedger->Stop();
  }
  if (mTable) {
    mTable->Stop();
  }
  if (mHub) {
    mHub->Stop(kFlushTimeout);
  }
  if (mServer) {
    mServer->Stop();
  }
}

Entry::Entry(settings::Settings aSettings, EntryAdapters aAdapters)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), std::move(aAdapters)))
{
}

Entry::~Entry() = default;

base::Result<base::Unit>
Entry::Start()
{
  return mImpl->Start();
}

http::Endpoint
Entry::HttpEndpoint() const
{
  return mImpl->mHttpEndpoint;
}

http::Endpoint
Entry::PeerEndpoint() const
{
  return mImpl->mPeerEndpoint;
}

void
Entry::BeginDrain()
{
  mImpl->BeginDrain();
}

bool
Entry::Drained() const
{
  return mImpl->mDrained;
}

std::string
Entry::Dump()
{
  return mImpl->Dump();
}

void
Entry::Stop()
{
  mImpl->Stop();
}

}

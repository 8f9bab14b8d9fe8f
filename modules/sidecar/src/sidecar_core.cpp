#include "sycamore/sidecar/sidecar_core.h"

#include "sycamore/base/log.h"
#include "sycamore/sidecar/config_age.h"
#include "sycamore/wire/codec.h"

#include "call_runner.h"
#include "core_dump.h"
#include "load_poller.h"
#include "memory_runner.h"
#include "order_runner.h"

#include <algorithm>

namespace sycamore::sidecar {

using base::Error;
using base::ErrorKind;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::TimePoint;
using transport::LinkId;

static CoreState
InitialState(const settings::Settings& aSettings, uint64_t aIncarnation, SidecarOutput& aOutput)
{
  CoreState state{ aSettings, aIncarnation, aOutput, {}, {}, {}, 1, {} };
  for (const auto& target : aSettings.mTargets) {
    state.mTargets.emplace_back().mSettings = target;
  }
  return state;
}

static CallHooks
MakeHooks(MemoryTracker& aTracker, OrderRunner& aOrders)
{
  CallHooks hooks;
  hooks.mHasPrefix = [&aTracker](size_t aTarget, const base::ProgramId& aProgram) {
    return aTracker.HasPrefix(aTarget, aProgram);
  };
  hooks.mStarted = [&aTracker](size_t aTarget, const base::ProgramId& aProgram, TimePoint aNow) {
    aTracker.CallStarted(aTarget, aProgram, aNow);
  };
  hooks.mFinished =
    [&aTracker](size_t aTarget, const base::ProgramId& aProgram, uint64_t aTokens, TimePoint aNow) {
      aTracker.CallFinished(aTarget, aProgram, aTokens, aNow);
    };
  hooks.mFenced = [&aOrders](size_t aTarget) { aOrders.OnFenced(aTarget); };
  return hooks;
}

class SidecarCore::Impl
{
public:
  Impl(const settings::Settings& aSettings, uint64_t aIncarnation, SidecarOutput& aOutput)
    : mState(InitialState(aSettings, aIncarnation, aOutput))
    , mMemory(mState)
    , mOrders(mState)
    , mCalls(mState, MakeHooks(mMemory.Tracker(), mOrders))
    , mLoads(mState)
    , mConfig({ aSettings.mConfigMaxAge, aSettings.mConfigMaxAgeWithPeers })
  {
  }

  void OnPeer(const transport::PeerEvent& aEvent, TimePoint aNow);
  void OnFrame(LinkId aLink, const wire::FrameT& aFrame, TimePoint aNow);
  void OnHeartbeat(LinkId aLink, const wire::HeartbeatT& aHeartbeat, TimePoint aNow);
  std::optional<PendingRequest> TakePending(uint64_t aRequestId);
  std::optional<Error> Refusal(TimePoint aNow) const;
  wire::HelloT Hello(TimePoint aNow) const;
  wire::HeartbeatT Heartbeat(TimePoint aNow) const;
  wire::TargetLoadT LoadOf(size_t aTarget, TimePoint aNow) const;
  void Publish(TimePoint aNow);

  CoreState mState;
  MemoryRunner mMemory;
  OrderRunner mOrders;
  CallRunner mCalls;
  LoadPoller mLoads;
  ConfigAge mConfig;
  bool mDraining = false;
  bool mStale = true;
  TimePoint mDrainStarted;
  TimePoint mLastFinished; // Last tick of the drain at which a call was active.
};

SidecarCore::SidecarCore(const settings::Settings& aSettings,
                         uint64_t aIncarnation,
                         SidecarOutput& aOutput)
  : mImpl(std::make_unique<Impl>(aSettings, aIncarnation, aOutput))
{
}

SidecarCore::~SidecarCore() = default;

void
SidecarCore::Start(TimePoint aNow)
{
  mImpl->Publish(aNow);
  mImpl->mLoads.OnTick(aNow);
  mImpl->mMemory.OnTick(aNow);
  mImpl->mOrders.OnTick(aNow);
}

void
SidecarCore::OnPeer(const transport::PeerEvent& aEvent, TimePoint aNow)
{
  mImpl->OnPeer(aEvent, aNow);
}

void
SidecarCore::Impl::OnPeer(const transport::PeerEvent& aEvent, TimePoint aNow)
{
  if (const auto* connected = std::get_if<transport::PeerConnected>(&aEvent)) {
    const wire::HelloT& hello = *connected->mHello;
    mState.mPeers.Connected(connected->mLink, hello);
    if (hello.role == wire::Role::Entry) {
      const Millis age(static_cast<int64_t>(hello.config_age_ms));
      mConfig.EntryReported(hello.config_version, age, aNow);
    }
  } else if (const auto* lost = std::get_if<transport::PeerLost>(&aEvent)) {
    mState.mPeers.Lost(lost->mLink);
  } else if (const auto* frame = std::get_if<transport::PeerFrame>(&aEvent)) {
    OnFrame(frame->mLink, *frame->mFrame, aNow);
  }
}

void
SidecarCore::Impl::OnFrame(LinkId aLink, const wire::FrameT& aFrame, TimePoint aNow)
{
  if (mState.mPeers.PeerOf(aLink) == 0) {
    return;
  }
  const auto& body = aFrame.body;
  switch (body.type) {
    case wire::Body::Heartbeat:
      OnHeartbeat(aLink, *body.AsHeartbeat(), aNow);
      return;
    case wire::Body::Dispatch:
      mCalls.OnDispatch(aLink, *body.AsDispatch(), Refusal(aNow), aNow);
      return;
    case wire::Body::CallCancel:
      mCalls.OnCancel(aLink, *body.AsCallCancel(), aNow);
      return;
    case wire::Body::CallAck:
      mCalls.OnAck(aLink, *body.AsCallAck());
      return;
    case wire::Body::Lookup:
      mCalls.OnLookup(aLink, *body.AsLookup());
      return;
    case wire::Body::Seal:
      mCalls.OnSeal(aLink, *body.AsSeal(), aNow);
      return;
    case wire::Body::Hold:
      mMemory.OnHold(*body.AsHold(), aNow);
      return;
    case wire::Body::Release:
      mMemory.OnRelease(aLink, *body.AsRelease(), aNow);
      return;
    default:
      return;
  }
}

void
SidecarCore::Impl::OnHeartbeat(LinkId aLink, const wire::HeartbeatT& aHeartbeat, TimePoint aNow)
{
  const uint64_t peer = mState.mPeers.PeerOf(aLink);
  const Millis age(static_cast<int64_t>(aHeartbeat.config_age_ms));
  mConfig.EntryReported(aHeartbeat.config_version, age, aNow);
  const size_t count = std::min(aHeartbeat.partitions.size(), aHeartbeat.epochs.size());
  for (size_t i = 0; i < count; ++i) {
    mState.mPeers.RaiseEpoch(peer, aHeartbeat.partitions[i], aHeartbeat.epochs[i]);
  }
}

bool
SidecarCore::WantsTable(uint64_t aVersion) const
{
  return mImpl->mConfig.IsNewer(aVersion);
}

void
SidecarCore::OnTable(const table::Table& aTable, Millis aAge, TimePoint aNow)
{
  if (mImpl->mConfig.IsNewer(aTable.mVersion)) {
    Log(LogEvent::TableChanged, "table version {}", aTable.mVersion);
    mImpl->mOrders.OnTable(aTable, aNow);
  }
  mImpl->mConfig.Adopted(aTable.mVersion, aAge, aNow);
  mImpl->Publish(aNow);
}

void
SidecarCore::OnTableReported(uint64_t aVersion, Millis aAge, TimePoint aNow)
{
  mImpl->mConfig.EntryReported(aVersion, aAge, aNow);
}

// Removes and returns the record of a request that was reported; nothing if the id is unknown.
std::optional<PendingRequest>
SidecarCore::Impl::TakePending(uint64_t aRequestId)
{
  const auto found = mState.mPendingRequests.find(aRequestId);
  if (found == mState.mPendingRequests.end()) {
    return std::nullopt;
  }
  const PendingRequest pending = found->second;
  mState.mPendingRequests.erase(found);
  return pending;
}

void
SidecarCore::OnData(uint64_t aRequestId, std::string_view aData, TimePoint)
{
  const auto found = mImpl->mState.mPendingRequests.find(aRequestId);
  if (found != mImpl->mState.mPendingRequests.end() &&
      found->second.mPurpose == RequestPurpose::Call) {
    mImpl->mCalls.OnData(found->second, aData);
  }
}

void
SidecarCore::OnDone(uint64_t aRequestId, const http::ClientResponse& aResponse, TimePoint aNow)
{
  const auto pending = mImpl->TakePending(aRequestId);
  if (!pending) {
    return;
  }
  switch (pending->mPurpose) {
    case RequestPurpose::Call:
      mImpl->mCalls.OnDone(*pending, aResponse, aNow);
      return;
    case RequestPurpose::Load:
      mImpl->mLoads.OnDone(*pending, aResponse, aNow);
      return;
    case RequestPurpose::CacheList:
    case RequestPurpose::MemoryRelease:
      mImpl->mMemory.OnDone(*pending, aResponse, aNow);
      return;
    case RequestPurpose::OrderRead:
    case RequestPurpose::OrderSend:
      mImpl->mOrders.OnDone(*pending, aResponse, aNow);
      return;
    case RequestPurpose::Slot:
      return;
  }
}

void
SidecarCore::OnFailed(uint64_t aRequestId,
                      const Error& aError,
                      http::SendProgress aProgress,
                      TimePoint aNow)
{
  const auto pending = mImpl->TakePending(aRequestId);
  if (!pending) {
    return;
  }
  switch (pending->mPurpose) {
    case RequestPurpose::Call:
      mImpl->mCalls.OnFailed(*pending, aError, aProgress, aNow);
      return;
    case RequestPurpose::Load:
      mImpl->mLoads.OnFailed(*pending, aNow);
      return;
    case RequestPurpose::CacheList:
    case RequestPurpose::MemoryRelease:
      mImpl->mMemory.OnFailed(*pending, aNow);
      return;
    case RequestPurpose::OrderRead:
    case RequestPurpose::OrderSend:
      mImpl->mOrders.OnFailed(*pending, aNow);
      return;
    case RequestPurpose::Slot:
      return;
  }
}

void
SidecarCore::OnSlot(uint64_t aRequestId, bool aGranted, Millis aRetryAfter, TimePoint aNow)
{
  const auto pending = mImpl->TakePending(aRequestId);
  if (pending && pending->mPurpose == RequestPurpose::Slot) {
    mImpl->mOrders.OnSlot(*pending, aGranted, aRetryAfter, aNow);
  }
}

void
SidecarCore::OnTick(TimePoint aNow)
{
  mImpl->mCalls.OnTick(aNow);
  mImpl->mLoads.OnTick(aNow);
  mImpl->mMemory.OnTick(aNow);
  // During a drain no more orders are sent: the engines are leaving.
  if (!mImpl->mDraining) {
    mImpl->mOrders.OnTick(aNow);
  }
  if (mImpl->mDraining && mImpl->mCalls.Active() > 0) {
    mImpl->mLastFinished = aNow;
  }
  const bool stale = mImpl->mConfig.Stale(aNow);
  if (stale != mImpl->mStale) {
    mImpl->mStale = stale;
    Log(stale ? LogEvent::TableStale : LogEvent::TableConfirmed,
        "table version {}, age {} ms",
        mImpl->mConfig.Version(),
        mImpl->mConfig.Age(aNow).count());
  }
  mImpl->Publish(aNow);
}

// Why new calls are currently refused; nothing if they are accepted.
std::optional<Error>
SidecarCore::Impl::Refusal(TimePoint aNow) const
{
  if (mDraining) {
    return Error{ ErrorKind::TargetLeaving, "the instance of the target is leaving", "" };
  }
  if (mConfig.Stale(aNow)) {
    return Error{ ErrorKind::ConfigStale, "no entry has confirmed the table recently", "" };
  }
  return std::nullopt;
}

wire::HelloT
SidecarCore::Impl::Hello(TimePoint aNow) const
{
  wire::HelloT hello;
  hello.role = wire::Role::Sidecar;
  hello.instance = mState.mSettings.mInstance;
  hello.incarnation = mState.mIncarnation;
  hello.region = mState.mSettings.mRegion;
  hello.domain = mState.mSettings.mDomain;
  hello.config_version = mConfig.Version();
  hello.config_age_ms = static_cast<uint64_t>(mConfig.Age(aNow).count());
  hello.leaving = mDraining;
  for (const auto& target : mState.mTargets) {
    auto info = std::make_unique<wire::TargetInfoT>();
    info->name = target.mSettings.mTarget.mName;
    info->service = target.mSettings.mTarget.mService;
    info->kind = target.IsEngine() ? "engine" : "tool";
    info->checks_fence = target.mSettings.mTarget.mChecksFence;
    hello.targets.push_back(std::move(info));
  }
  return hello;
}

wire::TargetLoadT
SidecarCore::Impl::LoadOf(size_t aTarget, TimePoint aNow) const
{
  const TargetState& target = mState.mTargets.at(aTarget);
  wire::TargetLoadT load = target.mReported;
  load.name = target.mSettings.mTarget.mName;
  load.up = target.mHealth.Up(target.IsEngine(), aNow);
  if (!target.IsEngine()) {
    load.running = target.mRunning;
  } else if (target.mReportedAt) {
    const auto since = std::chrono::duration_cast<Millis>(aNow - *target.mReportedAt);
    load.age_ms += static_cast<uint64_t>(since.count());
  }
  load.queued += static_cast<uint32_t>(mCalls.Queued(aTarget));
  load.queued_tokens += mCalls.QueuedTokens(aTarget);
  return load;
}

wire::HeartbeatT
SidecarCore::Impl::Heartbeat(TimePoint aNow) const
{
  wire::HeartbeatT heartbeat;
  heartbeat.config_version = mConfig.Version();
  heartbeat.config_age_ms = static_cast<uint64_t>(mConfig.Age(aNow).count());
  heartbeat.leaving = mDraining;
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    heartbeat.loads.push_back(std::make_unique<wire::TargetLoadT>(LoadOf(i, aNow)));
  }
  return heartbeat;
}

void
SidecarCore::Impl::Publish(TimePoint aNow)
{
  mState.mOutput.Publish(Hello(aNow), Heartbeat(aNow));
}

void
SidecarCore::BeginDrain(TimePoint aNow)
{
  if (mImpl->mDraining) {
    return;
  }
  Log(LogEvent::DrainStarted, "{} active calls", mImpl->mCalls.Active());
  mImpl->mDraining = true;
  mImpl->mLastFinished = aNow;
  mImpl->Publish(aNow);
  for (const LinkId link : mImpl->mState.mPeers.EntryLinks()) {
    mImpl->mState.mOutput.SendFrame(link, wire::MakeFrame(wire::LeavingT()));
  }
  mImpl->mCalls.RefuseQueued(*mImpl->Refusal(aNow), aNow);
}

bool
SidecarCore::Drained(TimePoint aNow) const
{
  if (!mImpl->mDraining || mImpl->mCalls.Active() > 0) {
    return false;
  }
  const bool acked = mImpl->mCalls.Registry().UnackedOutcomes() == 0;
  return acked || aNow - mImpl->mLastFinished >= kAckWait;
}

bool
SidecarCore::Ready(TimePoint aNow) const
{
  return !mImpl->Refusal(aNow).has_value();
}

SidecarCounters
SidecarCore::Counters() const
{
  SidecarCounters counters = mImpl->mState.mCounters;
  for (size_t i = 0; i < mImpl->mState.mTargets.size(); ++i) {
    counters.mQueued += mImpl->mCalls.Queued(i);
    counters.mRunning += mImpl->mState.mTargets[i].mRunning;
  }
  counters.mUnackedOutcomes = mImpl->mCalls.Registry().UnackedOutcomes();
  counters.mTrackedPrograms = mImpl->mMemory.Tracker().Programs();
  counters.mHoldsExpired = mImpl->mMemory.Tracker().Expired();
  counters.mProgramsAdopted = mImpl->mMemory.Tracker().Adopted();
  return counters;
}

std::string
SidecarCore::Dump(TimePoint aNow) const
{
  return DumpCore({ mImpl->mState, mImpl->mCalls, mImpl->mMemory, mImpl->mOrders, mImpl->mConfig },
                  aNow);
}

}

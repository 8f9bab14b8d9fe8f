#include "sidecar_impl.h"

#include "sycamore/base/log.h"
#include "sycamore/http/error_body.h"
#include "sycamore/sidecar/metrics_text.h"
#include "sycamore/table/table.h"

namespace sycamore::sidecar {

using base::Clock;
using base::ErrorKind;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::Seconds;
using base::TimePoint;

// Queue space reserved for results other than those of calls: for each target those of polls,
// releases, orders and slots, and for the whole sidecar ticks and requests of the main thread.
static constexpr size_t kReportsPerTarget = 32;
static constexpr size_t kOtherReports = 64;

// Time for sending the frames that are still queued at shutdown.
static constexpr Millis kFlushLimit{ 1000 };

// Timeout of Dump.
static constexpr Seconds kDumpLimit{ 2 };

static size_t
ReservedReports(const settings::Settings& aSettings)
{
  size_t reserved = kOtherReports;
  for (const auto& target : aSettings.mTargets) {
    reserved += target.mMaxRunning + kReportsPerTarget;
  }
  return reserved;
}

static wire::HelloT
FirstHello(const settings::Settings& aSettings, uint64_t aIncarnation)
{
  wire::HelloT hello;
  hello.role = wire::Role::Sidecar;
  hello.instance = aSettings.mInstance;
  hello.incarnation = aIncarnation;
  return hello;
}

Sidecar::Impl::Impl(settings::Settings aSettings, uint64_t aIncarnation)
  : mSettings(std::move(aSettings))
  , mQueue(ReservedReports(mSettings))
  , mHub({},
         FirstHello(mSettings, aIncarnation),
         [this](transport::PeerEvent aEvent) { return mQueue.PushWork(std::move(aEvent)); })
  , mTargets(mSettings, mQueue)
  , mSlots(mSettings, mQueue)
  , mServer({},
            { [this](http::Request aRequest) { return mQueue.PushWork(std::move(aRequest)); }, {} })
  , mCore(mSettings, aIncarnation, *this)
{
}

Sidecar::Impl::~Impl()
{
  Stop();
}

base::Result<base::Unit>
Sidecar::Impl::Start()
{
  // The core must publish the targets before any peer can connect.
  mCore.Start(Clock::now());
  const auto peer = mHub.Listen(mSettings.mPeer);
  if (!IsOk(peer)) {
    return ErrorOf(peer);
  }
  mPeerEndpoint = ValueOf(peer);
  const auto server = mServer.Listen(mSettings.mHttp);
  if (!IsOk(server)) {
    return ErrorOf(server);
  }
  mHttpEndpoint = ValueOf(server);
  mCoreThread = std::thread([this] { RunCore(); });
  mTimers.Subscribe(SidecarCore::kTickPeriod, [this] { PushTick(); });
  return base::Unit{};
}

// At most one tick is queued, so that ticks do not fill the queue of a busy core.
void
Sidecar::Impl::PushTick()
{
  if (!mTickPending.exchange(true)) {
    mQueue.PushReport(Tick{});
  }
}

void
Sidecar::Impl::BeginDrain()
{
  mQueue.PushReport(DrainRequested{});
}

std::string
Sidecar::Impl::Dump()
{
  const auto reply = std::make_shared<std::promise<std::string>>();
  std::future<std::string> dump = reply->get_future();
  if (!mQueue.PushWork(DumpRequested{ reply }) ||
      dump.wait_for(kDumpLimit) != std::future_status::ready) {
    return "";
  }
  return dump.get();
}

void
Sidecar::Impl::Stop()
{
  mTimers.Stop();
  mHub.Stop(kFlushLimit);
  mServer.Stop();
  mTargets.Stop();
  mSlots.Stop();
  mQueue.Close();
  if (mCoreThread.joinable()) {
    mCoreThread.join();
  }
}

void
Sidecar::Impl::RunCore()
{
  while (!mQueue.Closed()) {
    const auto event = mQueue.PopFor(Seconds(1));
    if (event) {
      Handle(*event, Clock::now());
    }
  }
}

void
Sidecar::Impl::Handle(const SidecarEvent& aEvent, TimePoint aNow)
{
  if (const auto* peer = std::get_if<transport::PeerEvent>(&aEvent)) {
    HandlePeer(*peer, aNow);
  } else if (const auto* data = std::get_if<TargetData>(&aEvent)) {
    mCore.OnData(data->mRequestId, data->mData, aNow);
  } else if (const auto* done = std::get_if<TargetDone>(&aEvent)) {
    mTargets.Forget(done->mRequestId);
    mCore.OnDone(done->mRequestId, done->mResponse, aNow);
  } else if (const auto* failed = std::get_if<TargetFailed>(&aEvent)) {
    mTargets.Forget(failed->mRequestId);
    mCore.OnFailed(failed->mRequestId, failed->mError, failed->mProgress, aNow);
  } else if (const auto* slot = std::get_if<SlotAnswer>(&aEvent)) {
    mCore.OnSlot(slot->mRequestId, slot->mGranted, slot->mRetryAfter, aNow);
  } else if (std::holds_alternative<Tick>(aEvent)) {
    mTickPending.store(false);
    mCore.OnTick(aNow);
  } else if (std::holds_alternative<DrainRequested>(aEvent)) {
    mCore.BeginDrain(aNow);
  } else if (const auto* dump = std::get_if<DumpRequested>(&aEvent)) {
    dump->mReply->set_value(mCore.Dump(aNow));
  } else if (const auto* request = std::get_if<http::Request>(&aEvent)) {
    HandleHttp(*request, aNow);
  }
  mDrained.store(mCore.Drained(aNow));
}

void
Sidecar::Impl::HandlePeer(const transport::PeerEvent& aEvent, TimePoint aNow)
{
  const auto* frame = std::get_if<transport::PeerFrame>(&aEvent);
  if (frame != nullptr && frame->mFrame->body.type == wire::Body::ConfigPush) {
    HandleConfigPush(*frame->mFrame->body.AsConfigPush(), aNow);
    return;
  }
  mCore.OnPeer(aEvent, aNow);
}

void
Sidecar::Impl::HandleConfigPush(const wire::ConfigPushT& aPush, TimePoint aNow)
{
  const Millis age(static_cast<int64_t>(aPush.age_ms));
  if (!mCore.WantsTable(aPush.version)) {
    mCore.OnTableReported(aPush.version, age, aNow);
    return;
  }
  const auto parsed = table::FromJson(aPush.json);
  if (IsOk(parsed) && ValueOf(parsed).mVersion == aPush.version) {
    mCore.OnTable(ValueOf(parsed), age, aNow);
  } else {
    Log(LogEvent::PeerProtocolError, "the pushed table of version {} is malformed", aPush.version);
  }
}

static http::ResponsePart
ErrorPart(ErrorKind aKind, const std::string& aMessage)
{
  http::ResponsePart part;
  part.mStatus = base::AnswerFor(aKind).mHttpStatus;
  part.mBody = http::ErrorBody({ aKind, aMessage, "" });
  return part;
}

void
Sidecar::Impl::HandleHttp(const http::Request& aRequest, TimePoint aNow)
{
  http::ResponsePart part;
  if (aRequest.mMethod != "GET") {
    part = ErrorPart(ErrorKind::MethodNotAllowed, "a sidecar supports only GET");
  } else if (aRequest.mPath == "/dump") {
    part.mBody = mCore.Dump(aNow);
  } else if (aRequest.mPath == "/metrics") {
    part.mContentType = "text/plain; version=0.0.4";
    part.mBody = MetricsText(mCore.Counters());
  } else if (aRequest.mPath == "/healthz") {
    part.mBody = R"({"status":"ok"})";
  } else if (aRequest.mPath == "/readyz") {
    const bool ready = mCore.Ready(aNow);
    part.mStatus = ready ? 200 : 503;
    part.mBody = ready ? R"({"ready":true})" : R"({"ready":false})";
  } else {
    part = ErrorPart(ErrorKind::UnknownRoute, "the path does not exist on a sidecar");
  }
  part.mRequest = aRequest.mId;
  mServer.Send(std::move(part));
}

bool
Sidecar::Impl::SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame)
{
  return mHub.Send(aLink, aFrame);
}

void
Sidecar::Impl::StartRequest(TargetRequest aRequest)
{
  mTargets.Start(std::move(aRequest));
}

void
Sidecar::Impl::CancelRequest(uint64_t aRequestId)
{
  mTargets.Cancel(aRequestId);
}

void
Sidecar::Impl::Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat)
{
  mHub.Publish(std::move(aHello), std::move(aHeartbeat));
}

void
Sidecar::Impl::RequestSlot(const SlotRequest& aRequest)
{
  mSlots.Request(aRequest);
}

}

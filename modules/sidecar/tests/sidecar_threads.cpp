#include "sycamore/base/ring.h"
#include "sycamore/http/client.h"
#include "sycamore/http/server.h"
#include "sycamore/sidecar/sidecar.h"
#include "sycamore/table/table.h"
#include "sycamore/transport/peer_hub.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

namespace sycamore::sidecar {

using base::Clock;
using base::Millis;
using base::Seconds;
using base::TimePoint;

static constexpr Seconds kLimit{ 20 };

// An HTTP server that acts as engine, tool and weight store. Calls are answered at once, except
// while mHoldBack is set.
class FakeTarget
{
public:
  FakeTarget()
    : mServer({}, { [this](const http::Request& aRequest) { return OnRequest(aRequest); }, {} })
  {
    mEndpoint = base::ValueOf(mServer.Listen({ "127.0.0.1", 0 }));
  }
  ~FakeTarget() { mServer.Stop(); }
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  void Answer(const http::Request& aRequest)
  {
    const bool model = aRequest.mPath == "/v1/chat/completions";
    if (!model) {
      Send(aRequest.mId, true, true, R"({"done":true})");
      return;
    }
    Send(aRequest.mId, true, false, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
    Send(aRequest.mId, false, false, "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n");
    Send(aRequest.mId, false, true, "data: [DONE]\n\n");
  }

  base::Ring<http::Request> mHeld{ 64 };
  base::Ring<std::string> mChanges{ 64 }; // Bodies of slot requests and orders.
  std::atomic<bool> mHoldBack{ false };
  http::Endpoint mEndpoint;

private:
  bool OnRequest(const http::Request& aRequest)
  {
    const bool call =
      aRequest.mPath.starts_with("/tools/") || aRequest.mPath == "/v1/chat/completions";
    if (call && mHoldBack.load()) {
      return mHeld.TryPush(aRequest);
    }
    if (aRequest.mPath == "/slots" ||
        (aRequest.mPath == "/v1/orders" && aRequest.mMethod == "POST")) {
      mChanges.TryPush(aRequest.mBody);
    }
    if (call) {
      Answer(aRequest);
    } else if (aRequest.mPath == "/v1/cache") {
      Send(aRequest.mId, true, true, R"({"programs":[]})");
    } else {
      Send(aRequest.mId, true, true, "{}");
    }
    return true;
  }

  void Send(uint64_t aRequest, bool aFirst, bool aLast, std::string aBody)
  {
    http::ResponsePart part;
    part.mRequest = aRequest;
    part.mFirst = aFirst;
    part.mLast = aLast;
    part.mBody = std::move(aBody);
    mServer.Send(std::move(part));
  }

  http::Server mServer;
};

// The entry's end of a peer connection to the sidecar.
class FakeEntry
{
public:
  explicit FakeEntry(const http::Endpoint& aSidecar)
    : mHub({}, Hello(), [this](transport::PeerEvent aEvent) {
      return mEvents.TryPush(std::move(aEvent));
    })
  {
    mHub.Dial(aSidecar);
    auto event = Next(
      [](const auto& aEvent) { return std::holds_alternative<transport::PeerConnected>(aEvent); });
    const auto& connected = std::get<transport::PeerConnected>(event);
    mLink = connected.mLink;
    mSidecar = *connected.mHello;
  }
  ~FakeEntry() { mHub.Stop(Millis(0)); }
  FakeEntry(const FakeEntry&) = delete;
  FakeEntry& operator=(const FakeEntry&) = delete;

  template<typename T>
  void Send(T aBody)
  {
    const bool sent = mHub.Send(mLink, wire::MakeFrame(std::move(aBody)));
    BOOST_REQUIRE(sent);
  }

  // Waits for the next frame of type T, dropping others.
  template<typename T>
  T NextFrame()
  {
    const auto event = Next([](const auto& aEvent) {
      const auto* frame = std::get_if<transport::PeerFrame>(&aEvent);
      return frame != nullptr && frame->mFrame->body.type == wire::BodyUnionTraits<T>::enum_value;
    });
    return *static_cast<const T*>(std::get<transport::PeerFrame>(event).mFrame->body.value);
  }

  wire::HelloT mSidecar;

private:
  static wire::HelloT Hello()
  {
    wire::HelloT hello;
    hello.role = wire::Role::Entry;
    hello.instance = "entry-1";
    hello.incarnation = 4711;
    return hello;
  }

  template<typename F>
  transport::PeerEvent Next(const F& aWanted)
  {
    const TimePoint end = Clock::now() + kLimit;
    while (Clock::now() < end) {
      auto event = mEvents.PopFor(Millis(100));
      if (event && aWanted(*event)) {
        return std::move(*event);
      }
    }
    BOOST_FAIL("no such event");
    return {};
  }

  base::Ring<transport::PeerEvent> mEvents{ 4096 };
  transport::LinkId mLink = 0;
  transport::PeerHub mHub;
};

struct AssembledSidecarFixture
{
  AssembledSidecarFixture()
    : mSidecar(SettingsFor(mTarget), 99)
  {
    BOOST_REQUIRE(IsOk(mSidecar.Start()));
    mEntry = std::make_unique<FakeEntry>(mSidecar.PeerEndpoint());
  }

  static settings::Settings SettingsFor(const FakeTarget& aTarget)
  {
    settings::Settings settings;
    settings.mRole = settings::Role::Sidecar;
    settings.mInstance = "side-1";
    settings.mHttp = { "127.0.0.1", 0 };
    settings.mPeer = { "127.0.0.1", 0 };
    settings.mWeightStore = aTarget.mEndpoint;
    settings.mTargets = {
      { { "engine-1", "llm", world::TargetKind::Engine, false }, aTarget.mEndpoint, 8 },
      { { "tool-1", "tool", world::TargetKind::Tool, false }, aTarget.mEndpoint, 8 },
    };
    return settings;
  }

  static std::unique_ptr<wire::CallIdT> Id(uint32_t aSeq, const std::string& aKey)
  {
    auto id = std::make_unique<wire::CallIdT>();
    id->seq = aSeq;
    id->key = aKey;
    return id;
  }

  void Dispatch(uint32_t aSeq, bool aModel)
  {
    wire::DispatchT dispatch;
    dispatch.call = Id(aSeq, aModel ? "" : std::to_string(aSeq));
    dispatch.epoch = 1;
    dispatch.sidecar_incarnation = aModel ? 0 : 99;
    dispatch.kind = aModel ? wire::CallKind::Model : wire::CallKind::Tool;
    dispatch.repeatable = aModel;
    dispatch.target = aModel ? "engine-1" : "tool-1";
    dispatch.body = "{}";
    dispatch.path = "act";
    dispatch.stream = aModel;
    dispatch.deadline_ms = 15000;
    mEntry->Send(std::move(dispatch));
  }

  void Ack(const wire::CallOutcomeT& aOutcome)
  {
    wire::CallAckT ack;
    ack.call = std::make_unique<wire::CallIdT>(*aOutcome.call);
    ack.attempt = aOutcome.attempt;
    mEntry->Send(std::move(ack));
  }

  std::string Get(const std::string& aPath)
  {
    http::Client client(mSidecar.HttpEndpoint(), kLimit);
    http::ClientRequest request;
    request.mTarget = aPath;
    return base::ValueOf(client.Perform(request)).mBody;
  }

  FakeTarget mTarget;
  Sidecar mSidecar;
  std::unique_ptr<FakeEntry> mEntry;
};

// Guards against calls that are lost, mixed up or answered twice between the threads.
BOOST_FIXTURE_TEST_CASE(SidecarWithManyCallsAnswersEachOnce, AssembledSidecarFixture)
{
  constexpr uint32_t kCalls = 100;
  BOOST_TEST(mEntry->mSidecar.targets.size() == 2U);
  for (uint32_t seq = 1; seq <= kCalls; ++seq) {
    Dispatch(seq, seq % 2 == 0);
  }
  std::map<uint32_t, int> answered;
  for (uint32_t i = 0; i < kCalls; ++i) {
    const auto outcome = mEntry->NextFrame<wire::CallOutcomeT>();
    BOOST_TEST((outcome.result == wire::CallResult::Answered));
    const bool model = outcome.call->seq % 2 == 0;
    const std::string expected = model ? R"("content":"ab")" : R"({"done":true})";
    BOOST_TEST(outcome.body.find(expected) != std::string::npos);
    ++answered[outcome.call->seq];
    Ack(outcome);
  }
  BOOST_TEST(answered.size() == kCalls);
}

// Guards against heartbeats without loads, and against an HTTP endpoint that does not answer.
BOOST_FIXTURE_TEST_CASE(SidecarWhenIdleReportsLoadsAndState, AssembledSidecarFixture)
{
  const auto heartbeat = mEntry->NextFrame<wire::HeartbeatT>();
  BOOST_TEST(heartbeat.loads.size() == 2U);
  BOOST_TEST(Get("/dump").find(R"("instance":"side-1")") != std::string::npos);
  BOOST_TEST(Get("/metrics").find("sycamore_sidecar_started_total 0") != std::string::npos);
  BOOST_TEST(Get("/healthz") == R"({"status":"ok"})");
  BOOST_TEST(mSidecar.Dump().find("engine-1") != std::string::npos);
}

// Guards against a graceful shutdown that aborts a running call or never ends.
BOOST_FIXTURE_TEST_CASE(SidecarWhenDrainedHasFinishedItsCalls, AssembledSidecarFixture)
{
  mTarget.mHoldBack.store(true);
  Dispatch(1, false);
  const auto held = mTarget.mHeld.PopFor(kLimit);
  BOOST_REQUIRE(held.has_value());
  mSidecar.BeginDrain();
  mEntry->NextFrame<wire::LeavingT>();
  Dispatch(3, false);
  const auto refused = mEntry->NextFrame<wire::CallOutcomeT>();
  BOOST_TEST((refused.result == wire::CallResult::NotRun));
  Ack(refused);
  BOOST_TEST(!mSidecar.Drained());
  mTarget.Answer(*held);
  const auto outcome = mEntry->NextFrame<wire::CallOutcomeT>();
  BOOST_TEST((outcome.result == wire::CallResult::Answered));
  Ack(outcome);
  const TimePoint end = Clock::now() + kLimit;
  while (!mSidecar.Drained() && Clock::now() < end) {
    std::this_thread::sleep_for(Millis(10));
  }
  BOOST_TEST(mSidecar.Drained());
  mSidecar.Stop();
}

// Guards against a pushed table that has no effect, and against loading weights without a slot.
BOOST_FIXTURE_TEST_CASE(SidecarWithPushedTableTakesSlotAndSendsOrder, AssembledSidecarFixture)
{
  table::Table table;
  table.mVersion = 4;
  table.mOrders["llm"] = { "base", "lora", "v2", "", 4 };
  wire::ConfigPushT push;
  push.version = table.mVersion;
  push.json = table::ToJson(table);
  mEntry->Send(std::move(push));
  const auto slot = mTarget.mChanges.PopFor(kLimit);
  BOOST_REQUIRE(slot.has_value());
  BOOST_TEST(slot->find(R"("instance":"side-1")") != std::string::npos);
  const auto order = mTarget.mChanges.PopFor(kLimit);
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST(order->find(R"("version":4)") != std::string::npos);
  while (mEntry->NextFrame<wire::HeartbeatT>().config_version != table.mVersion) {
  }
}

// Guards against losing an outcome when the connection on which its call arrived is lost.
BOOST_FIXTURE_TEST_CASE(SidecarWhenEntryReconnectsAnswersLookup, AssembledSidecarFixture)
{
  mTarget.mHoldBack.store(true);
  Dispatch(1, false);
  const auto held = mTarget.mHeld.PopFor(kLimit);
  BOOST_REQUIRE(held.has_value());
  mEntry.reset();
  mTarget.Answer(*held);
  mEntry = std::make_unique<FakeEntry>(mSidecar.PeerEndpoint());
  wire::LookupT lookup;
  lookup.call = Id(1, "1");
  mEntry->Send(std::move(lookup));
  const auto outcome = mEntry->NextFrame<wire::CallOutcomeT>();
  BOOST_TEST((outcome.result == wire::CallResult::Answered));
  BOOST_TEST(outcome.body == R"({"done":true})");
}

// Guards against a stop that hangs or crashes while calls run.
BOOST_FIXTURE_TEST_CASE(SidecarWhenStoppedWithRunningCallsEnds, AssembledSidecarFixture)
{
  mTarget.mHoldBack.store(true);
  Dispatch(1, true);
  BOOST_REQUIRE(mTarget.mHeld.PopFor(kLimit).has_value());
  mSidecar.Stop();
  mSidecar.Stop();
}

}

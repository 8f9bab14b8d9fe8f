#pragma once

#include "sycamore/sidecar/sidecar_core.h"
#include "sycamore/wire/codec.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::sidecar {

// Records the effects of a core.
class RecordingOutput : public SidecarOutput
{
public:
  bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) override
  {
    mFrames.emplace_back(aLink, wire::FrameT(aFrame));
    return true;
  }
  void StartRequest(TargetRequest aRequest) override
  {
    mOpen[aRequest.mRequestId] = aRequest;
    mRequests.push_back(std::move(aRequest));
  }
  void CancelRequest(uint64_t aRequestId) override { mCancelled.push_back(aRequestId); }
  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) override
  {
    mHello = std::move(aHello);
    mHeartbeat = std::move(aHeartbeat);
  }
  void RequestSlot(const SlotRequest& aRequest) override { mSlots.push_back(aRequest); }

  // All requests of one path so far.
  std::vector<TargetRequest> RequestsOf(const std::string& aPath) const
  {
    std::vector<TargetRequest> found;
    for (const auto& request : mRequests) {
      if (request.mPath == aPath) {
        found.push_back(request);
      }
    }
    return found;
  }

  // All frames of one type sent on a link so far.
  template<typename T>
  std::vector<T> FramesOf(transport::LinkId aLink) const
  {
    std::vector<T> found;
    for (const auto& [link, frame] : mFrames) {
      if (link == aLink && frame.body.type == wire::BodyUnionTraits<T>::enum_value) {
        found.push_back(*static_cast<const T*>(frame.body.value));
      }
    }
    return found;
  }

  std::vector<std::pair<transport::LinkId, wire::FrameT>> mFrames;
  std::vector<TargetRequest> mRequests;
  std::map<uint64_t, TargetRequest> mOpen;
  std::vector<uint64_t> mCancelled;
  std::vector<SlotRequest> mSlots;
  wire::HelloT mHello;
  wire::HeartbeatT mHeartbeat;
};

// A core with one engine and one tool, connected to one entry.
struct CoreFixture
{
  static constexpr uint64_t kIncarnation = 77;
  static constexpr uint64_t kEntry = 1000;
  static constexpr transport::LinkId kLink = 1;

  CoreFixture()
  {
    mSettings.mRole = settings::Role::Sidecar;
    mSettings.mInstance = "side-1";
    mSettings.mTargets.push_back(
      { { "engine-1", "inspect-llm", world::TargetKind::Engine, true }, { "127.0.0.1", 1 }, 2 });
    mSettings.mTargets.push_back(
      { { "tool-1", "tag-registry", world::TargetKind::Tool, false }, { "127.0.0.1", 2 }, 2 });
    Restart();
  }

  // Replaces the core, as a restart of the process does.
  void Restart(uint64_t aIncarnation = kIncarnation)
  {
    mCore = std::make_unique<SidecarCore>(mSettings, aIncarnation, mOutput);
    mCore->Start(mNow);
    Connect(kLink, kEntry);
  }

  void Connect(transport::LinkId aLink, uint64_t aEntry)
  {
    auto hello = std::make_shared<wire::HelloT>();
    hello->role = wire::Role::Entry;
    hello->instance = "entry";
    hello->incarnation = aEntry;
    mCore->OnPeer(transport::PeerConnected{ aLink, hello, "" }, mNow);
  }

  template<typename T>
  void Receive(transport::LinkId aLink, T aBody)
  {
    auto frame = std::make_shared<wire::FrameT>(wire::MakeFrame(std::move(aBody)));
    mCore->OnPeer(transport::PeerFrame{ aLink, std::move(frame) }, mNow);
  }

  // Advances the time in ticks; with aHeartbeats the entry sends a heartbeat each second.
  void Pass(base::Millis aTime, bool aHeartbeats = true)
  {
    const base::TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += SidecarCore::kTickPeriod;
      if (aHeartbeats && mNow - mHeartbeatAt >= base::Seconds(1)) {
        mHeartbeatAt = mNow;
        Receive(kLink, wire::HeartbeatT());
      }
      mCore->OnTick(mNow);
    }
  }

  static std::unique_ptr<wire::CallIdT> Id(uint32_t aSeq, const std::string& aKey = "")
  {
    auto id = std::make_unique<wire::CallIdT>();
    id->partition = 3;
    id->creation_offset = 5;
    id->random = 9;
    id->seq = aSeq;
    id->key = aKey;
    return id;
  }

  static wire::DispatchT Model(uint32_t aSeq, uint32_t aAttempt = 1, uint64_t aEpoch = 1)
  {
    wire::DispatchT dispatch;
    dispatch.call = Id(aSeq);
    dispatch.epoch = aEpoch;
    dispatch.attempt = aAttempt;
    dispatch.kind = wire::CallKind::Model;
    dispatch.repeatable = true;
    dispatch.target = "engine-1";
    dispatch.body = R"({"messages":[]})";
    dispatch.deadline_ms = 10000;
    dispatch.stream = true;
    dispatch.weight = 1;
    dispatch.prompt_tokens = 10;
    dispatch.max_tokens = 20;
    return dispatch;
  }

  static wire::DispatchT Tool(const std::string& aKey, uint64_t aEpoch = 1)
  {
    wire::DispatchT dispatch;
    dispatch.call = Id(1, aKey);
    dispatch.epoch = aEpoch;
    dispatch.sidecar_incarnation = kIncarnation;
    dispatch.kind = wire::CallKind::Tool;
    dispatch.repeatable = false;
    dispatch.target = "tool-1";
    dispatch.body = "{}";
    dispatch.path = "issue-notice";
    dispatch.deadline_ms = 10000;
    return dispatch;
  }

  wire::CallOutcomeT LastOutcome(transport::LinkId aLink = kLink) const
  {
    const auto outcomes = mOutput.FramesOf<wire::CallOutcomeT>(aLink);
    return outcomes.empty() ? wire::CallOutcomeT() : outcomes.back();
  }

  void Done(uint64_t aRequestId, const std::string& aBody, int aStatus = 200)
  {
    http::ClientResponse response;
    response.mStatus = aStatus;
    response.mBody = aBody;
    mOutput.mOpen.erase(aRequestId);
    mCore->OnDone(aRequestId, response, mNow);
  }

  void Fail(uint64_t aRequestId, base::ErrorKind aKind, http::SendProgress aProgress)
  {
    mOutput.mOpen.erase(aRequestId);
    mCore->OnFailed(aRequestId, { aKind, "test", "" }, aProgress, mNow);
  }

  settings::Settings mSettings;
  base::TimePoint mNow = base::TimePoint() + base::Seconds(1000);
  base::TimePoint mHeartbeatAt = mNow;
  RecordingOutput mOutput;
  std::unique_ptr<SidecarCore> mCore;
};

}

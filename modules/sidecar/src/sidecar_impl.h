#pragma once

#include "sycamore/base/timer_service.h"
#include "sycamore/http/server.h"
#include "sycamore/sidecar/sidecar.h"
#include "sycamore/sidecar/sidecar_core.h"
#include "sycamore/transport/peer_hub.h"

#include "event_queue.h"
#include "slot_worker.h"
#include "target_io.h"

#include <atomic>
#include <thread>

namespace sycamore::sidecar {

class Sidecar::Impl : public SidecarOutput
{
public:
  Impl(settings::Settings aSettings, uint64_t aIncarnation);
  ~Impl() override;

  base::Result<base::Unit> Start();
  void BeginDrain();
  bool Drained() const { return mDrained.load(); }
  std::string Dump();
  void Stop();

  // SidecarOutput, called on the core thread.
  bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) override;
  void StartRequest(TargetRequest aRequest) override;
  void CancelRequest(uint64_t aRequestId) override;
  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) override;
  void RequestSlot(const SlotRequest& aRequest) override;

  http::Endpoint mHttpEndpoint;
  http::Endpoint mPeerEndpoint;

private:
  void RunCore();
  void Handle(const SidecarEvent& aEvent, base::TimePoint aNow);
  void HandlePeer(const transport::PeerEvent& aEvent, base::TimePoint aNow);
  void HandleConfigPush(const wire::ConfigPushT& aPush, base::TimePoint aNow);
  void HandleHttp(const http::Request& aRequest, base::TimePoint aNow);
  void PushTick();

  settings::Settings mSettings;
  EventQueue mQueue;
  std::atomic<bool> mDrained{ false };
  std::atomic<bool> mTickPending{ false };
  transport::PeerHub mHub;
  TargetIo mTargets;
  SlotWorker mSlots;
  http::Server mServer;
  SidecarCore mCore;
  base::TimerService mTimers;
  std::thread mCoreThread;
};

}

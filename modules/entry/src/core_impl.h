#pragma once

#include "answers.h"
#include "api.h"
#include "call_intake.h"
#include "call_recorder.h"
#include "call_registry.h"
#include "call_runner.h"
#include "checkpoints.h"
#include "commits.h"
#include "delivery.h"
#include "forwarder.h"
#include "history.h"
#include "membership.h"
#include "metrics.h"
#include "partition_map.h"
#include "peers.h"
#include "program_memory.h"
#include "program_registry.h"
#include "program_service.h"
#include "router.h"
#include "sycamore/entry/entry_core.h"
#include "sycamore/policy/admission.h"
#include "table_state.h"

#include <string>

namespace sycamore::entry {

// Owns the components of the core and dispatches events to them.
class EntryCore::Impl : private PartitionObserver
{
public:
  explicit Impl(Context aContext);

  void Handle(CoreEvent aEvent, base::TimePoint aNow);
  bool Drained() const;
  std::string Dump() const;

private:
  void OnAcquired(uint32_t aPartition) override;
  void OnLost(uint32_t aPartition) override;
  void OnOwnerKnown(uint32_t aPartition) override;

  void On(const http::Request& aRequest);
  void On(const RequestClosed& aEvent);
  void On(const transport::PeerEvent& aEvent);
  void On(const ledger::LedgerEvent& aEvent);
  void On(const table::TableEvent& aEvent);
  void On(const InstancesRead& aEvent);
  void On(const Tick& aEvent);
  void On(const DrainRequested& aEvent);

  void OnPeer(const transport::PeerConnected& aEvent);
  void OnPeer(const transport::PeerLost& aEvent);
  void OnPeer(const transport::PeerFrame& aEvent);

  void OnFrame(Peer& aPeer, const wire::HeartbeatT& aFrame);
  void OnFrame(Peer& aPeer, const wire::ForwardT& aFrame);
  void OnFrame(Peer& aPeer, const wire::CacheHintT& aFrame);
  void OnCallFrame(const Peer& aPeer, const wire::FrameT& aFrame);

  void Accept(Incoming aIncoming);
  void HandleParked(uint32_t aPartition);
  void ReleaseIdlePartitions();
  std::string MetricsText();

  Context mContext;
  Answers mAnswers;
  Peers mPeers;
  Commits mCommits;
  PartitionMap mPartitions;
  TableState mTable;
  ProgramRegistry mPrograms;
  Router mRouter;
  History mHistory;
  policy::Admission mAdmission;
  CallRegistry mCalls;
  Delivery mDelivery;
  CallRecorder mRecorder;
  Reservations mReservations;
  CallRunner mRunner;
  ProgramMemory mMemory;
  ProgramService mService;
  CallIntake mIntake;
  Forwarder mForwarder;
  Checkpoints mCheckpoints;
  Membership mMembership;
  Metrics mMetrics;
  base::TimePoint mDrainStarted;
  Api mApi;
};

}

// EntryCore::Impl: connections and frames of peers.
#include "core_impl.h"

#include "wire_ids.h"

#include <algorithm>
#include <utility>

namespace sycamore::entry {

void
EntryCore::Impl::OnPeer(const transport::PeerConnected& aEvent)
{
  Peer& peer = mPeers.OnConnected(aEvent);
  const base::Millis age{ static_cast<int64_t>(aEvent.mHello->config_age_ms) };
  mTable.OnPeerVersion(peer, aEvent.mHello->config_version, age);
  if (peer.mRole == wire::Role::Sidecar) {
    mRouter.OnConnected(peer);
    mRunner.OnSidecarConnected(peer);
  }
  if (peer.mRole == wire::Role::Entry) {
    for (uint32_t i = 0; i < mPartitions.Count(); ++i) {
      if (mPartitions.RemoteOwner(i) == peer.mInstance) {
        HandleParked(i);
      }
    }
  }
}

void
EntryCore::Impl::OnPeer(const transport::PeerLost& aEvent)
{
  mPeers.OnLost(aEvent.mLink);
  mAnswers.CloseLink(aEvent.mLink);
  mForwarder.OnLinkLost(aEvent.mLink);
  mRunner.OnLinkLost(aEvent.mLink);
}

void
EntryCore::Impl::OnPeer(const transport::PeerFrame& aEvent)
{
  Peer* peer = mPeers.Find(aEvent.mLink);
  if (peer == nullptr) {
    return;
  }
  peer->mHeard = mContext.mNow;
  const wire::FrameT& frame = *aEvent.mFrame;
  switch (frame.body.type) {
    case wire::Body::Heartbeat:
      OnFrame(*peer, *frame.body.AsHeartbeat());
      break;
    case wire::Body::ConfigPush:
      mTable.OnPush(*frame.body.AsConfigPush());
      break;
    case wire::Body::Leaving:
      peer->mLeaving = true;
      break;
    case wire::Body::Forward:
      OnFrame(*peer, *frame.body.AsForward());
      break;
    case wire::Body::ForwardPart:
      mForwarder.OnPart(peer->mLink, *frame.body.AsForwardPart());
      break;
    case wire::Body::ForwardCancel:
      mAnswers.Close({ peer->mLink, frame.body.AsForwardCancel()->request });
      break;
    case wire::Body::ReleaseAck:
      if (frame.body.AsReleaseAck()->program) {
        mMemory.OnReleaseAck(*peer, FromFrame(*frame.body.AsReleaseAck()->program));
      }
      break;
    case wire::Body::CacheHint:
      OnFrame(*peer, *frame.body.AsCacheHint());
      break;
    default:
      OnCallFrame(*peer, frame);
      break;
  }
}

void
EntryCore::Impl::OnCallFrame(const Peer& aPeer, const wire::FrameT& aFrame)
{
  switch (aFrame.body.type) {
    case wire::Body::CallToken:
      mRunner.OnToken(aPeer.mLink, *aFrame.body.AsCallToken());
      break;
    case wire::Body::CallOutcome:
      mRunner.OnOutcome(aPeer.mLink, *aFrame.body.AsCallOutcome());
      break;
    case wire::Body::LookupReply:
      mRunner.OnLookupReply(aPeer.mLink, *aFrame.body.AsLookupReply());
      break;
    case wire::Body::SealReply:
      mRunner.OnSealReply(aPeer.mLink, *aFrame.body.AsSealReply());
      break;
    default:
      break;
  }
}

void
EntryCore::Impl::OnFrame(Peer& aPeer, const wire::HeartbeatT& aFrame)
{
  mPeers.OnHeartbeat(aPeer, aFrame);
  const base::Millis age{ static_cast<int64_t>(aFrame.config_age_ms) };
  mTable.OnPeerVersion(aPeer, aFrame.config_version, age);
  if (aPeer.mRole == wire::Role::Entry) {
    mPartitions.OnHeartbeat(aPeer);
  }
}

void
EntryCore::Impl::OnFrame(Peer& aPeer, const wire::ForwardT& aFrame)
{
  Incoming incoming;
  incoming.mReply = ReplyTo{ aPeer.mLink, aFrame.request };
  incoming.mMethod = aFrame.method;
  incoming.mPath = aFrame.path;
  incoming.mBody = aFrame.body;
  incoming.mLastEventId = aFrame.last_event_id;
  incoming.mAcceptsStream = aFrame.accepts_stream;
  incoming.mHops = aFrame.hops;
  constexpr uint64_t kDayMs = 24ULL * 3600 * 1000;
  const uint64_t left = std::min(aFrame.deadline_ms, kDayMs);
  incoming.mDeadline = mContext.mNow + base::Millis{ static_cast<int64_t>(left) };
  Accept(std::move(incoming));
}

void
EntryCore::Impl::OnFrame(Peer& aPeer, const wire::CacheHintT& aFrame)
{
  if (!aFrame.program || !aPeer.mTargets.contains(aFrame.target)) {
    return;
  }
  const base::ProgramId program = FromFrame(*aFrame.program);
  if (mPrograms.Find(program) != nullptr) {
    mRouter.NotePrefix(program, aFrame.target, aFrame.tokens);
  }
}

}

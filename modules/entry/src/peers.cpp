#include "peers.h"

#include <algorithm>
#include <utility>

namespace sycamore::entry {

Peers::Peers(Context& aContext)
  : mContext(aContext)
{
}

Peer&
Peers::OnConnected(const transport::PeerConnected& aEvent)
{
  const wire::HelloT& hello = *aEvent.mHello;
  Peer& peer = mPeers[aEvent.mLink];
  peer.mLink = aEvent.mLink;
  peer.mRole = hello.role;
  peer.mInstance = hello.instance;
  peer.mIncarnation = hello.incarnation;
  peer.mRegion = hello.region;
  peer.mAddress = hello.peer_address;
  peer.mLeaving = hello.leaving;
  peer.mHeard = mContext.mNow;
  peer.mConfigVersion = hello.config_version;
  for (const auto& info : hello.targets) {
    TargetView& target = peer.mTargets[info->name];
    target.mInfo = *info;
    target.mLoad.up = true;
    target.mMeasured = mContext.mNow;
  }
  mCurrent[{ peer.mRole, peer.mInstance }] = peer.mLink;
  return peer;
}

void
Peers::OnLost(transport::LinkId aLink)
{
  const auto found = mPeers.find(aLink);
  if (found == mPeers.end()) {
    return;
  }
  const auto current = mCurrent.find({ found->second.mRole, found->second.mInstance });
  if (current != mCurrent.end() && current->second == aLink) {
    mCurrent.erase(current);
  }
  mPeers.erase(found);
}

static void
UpdateLoad(TargetView& aTarget, const wire::TargetLoadT& aLoad, base::TimePoint aNow)
{
  aTarget.mLoad = aLoad;
  aTarget.mMeasured = aNow - base::Millis{ static_cast<int64_t>(aLoad.age_ms) };
  while (!aTarget.mSent.empty() && aTarget.mSent.front().mSent <= aTarget.mMeasured) {
    aTarget.mSent.pop_front();
  }
}

void
Peers::OnHeartbeat(Peer& aPeer, const wire::HeartbeatT& aHeartbeat)
{
  aPeer.mLeaving = aPeer.mLeaving || aHeartbeat.leaving;
  aPeer.mConfigVersion = aHeartbeat.config_version;
  for (const auto& load : aHeartbeat.loads) {
    const auto found = aPeer.mTargets.find(load->name);
    if (found != aPeer.mTargets.end()) {
      UpdateLoad(found->second, *load, mContext.mNow);
    }
  }
  aPeer.mPartitions.clear();
  const size_t count = std::min(aHeartbeat.partitions.size(), aHeartbeat.epochs.size());
  for (size_t i = 0; i < count; ++i) {
    aPeer.mPartitions[aHeartbeat.partitions[i]] = aHeartbeat.epochs[i];
  }
}

void
Peers::SetListedLeaving(std::set<std::string> aInstances)
{
  mListedLeaving = std::move(aInstances);
}

Peer*
Peers::Find(transport::LinkId aLink)
{
  const auto found = mPeers.find(aLink);
  return found == mPeers.end() ? nullptr : &found->second;
}

Peer*
Peers::Sidecar(const std::string& aInstance)
{
  return Current(wire::Role::Sidecar, aInstance);
}

Peer*
Peers::Entry(const std::string& aInstance)
{
  return Current(wire::Role::Entry, aInstance);
}

bool
Peers::IsLeaving(const Peer& aPeer) const
{
  return aPeer.mLeaving || mListedLeaving.contains(aPeer.mInstance);
}

void
Peers::ForEach(const std::function<void(const Peer&)>& aFunction) const
{
  for (const auto& [link, peer] : mPeers) {
    aFunction(peer);
  }
}

std::vector<Peer*>
Peers::Sidecars()
{
  return CurrentOf(wire::Role::Sidecar);
}

std::vector<Peer*>
Peers::Entries()
{
  return CurrentOf(wire::Role::Entry);
}

size_t
Peers::LiveEntries()
{
  const std::vector<Peer*> entries = Entries();
  const auto live = std::count_if(
    entries.begin(), entries.end(), [this](const Peer* aPeer) { return !IsLeaving(*aPeer); });
  return 1 + static_cast<size_t>(live);
}

Peer*
Peers::Current(wire::Role aRole, const std::string& aInstance)
{
  const auto found = mCurrent.find({ aRole, aInstance });
  return found == mCurrent.end() ? nullptr : Find(found->second);
}

std::vector<Peer*>
Peers::CurrentOf(wire::Role aRole)
{
  std::vector<Peer*> peers;
  for (const auto& [name, link] : mCurrent) {
    if (name.first == aRole) {
      peers.push_back(Find(link));
    }
  }
  return peers;
}

}

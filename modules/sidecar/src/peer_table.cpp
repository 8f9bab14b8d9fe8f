#include "sycamore/sidecar/peer_table.h"

#include <algorithm>

namespace sycamore::sidecar {

using transport::LinkId;

// Number of entries without a connection that are kept, so that an entry that reconnects can still
// acknowledge its outcomes.
static constexpr size_t kMaxUnconnected = 256;

// Limit of partitions tracked per entry and in total; the design uses 32.
static constexpr size_t kMaxPartitions = 4096;

void
PeerTable::Connected(LinkId aLink, const wire::HelloT& aHello)
{
  if (aHello.role != wire::Role::Entry || aHello.incarnation == 0) {
    return;
  }
  Peer& peer = mPeers[aHello.incarnation];
  peer.mInstance = aHello.instance;
  peer.mLinks.push_back(aLink);
  peer.mChangeNumber = mNextChangeNumber++;
  mLinks[aLink] = aHello.incarnation;
  DropOldestUnconnected();
}

void
PeerTable::Lost(LinkId aLink)
{
  const auto link = mLinks.find(aLink);
  if (link == mLinks.end()) {
    return;
  }
  Peer& peer = mPeers.at(link->second);
  std::erase(peer.mLinks, aLink);
  peer.mChangeNumber = mNextChangeNumber++;
  mLinks.erase(link);
}

void
PeerTable::DropOldestUnconnected()
{
  const auto unconnected = [](const auto& aEntry) { return aEntry.second.mLinks.empty(); };
  const auto count = std::count_if(mPeers.begin(), mPeers.end(), unconnected);
  if (static_cast<size_t>(count) <= kMaxUnconnected) {
    return;
  }
  auto oldest = mPeers.end();
  for (auto peer = mPeers.begin(); peer != mPeers.end(); ++peer) {
    const bool older =
      oldest == mPeers.end() || peer->second.mChangeNumber < oldest->second.mChangeNumber;
    if (unconnected(*peer) && older) {
      oldest = peer;
    }
  }
  mPeers.erase(oldest);
}

uint64_t
PeerTable::PeerOf(LinkId aLink) const
{
  const auto found = mLinks.find(aLink);
  return found == mLinks.end() ? 0 : found->second;
}

std::optional<LinkId>
PeerTable::NewestLink(uint64_t aPeer) const
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end() || found->second.mLinks.empty()) {
    return std::nullopt;
  }
  return found->second.mLinks.back();
}

std::vector<LinkId>
PeerTable::EntryLinks() const
{
  std::vector<LinkId> links;
  for (const auto& [incarnation, peer] : mPeers) {
    if (!peer.mLinks.empty()) {
      links.push_back(peer.mLinks.back());
    }
  }
  return links;
}

void
PeerTable::RaiseEpoch(uint64_t aPeer, uint32_t aPartition, uint64_t aEpoch)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  auto& epochs = found->second.mEpochs;
  if (epochs.contains(aPartition) || epochs.size() < kMaxPartitions) {
    epochs[aPartition] = std::max(epochs[aPartition], aEpoch);
  }
  if (mOwners.contains(aPartition) || mOwners.size() < kMaxPartitions) {
    Owner& owner = mOwners[aPartition];
    if (aEpoch >= owner.mEpoch) {
      owner = { aPeer, aEpoch };
    }
  }
}

uint64_t
PeerTable::EpochOf(uint64_t aPeer, uint32_t aPartition) const
{
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return 0;
  }
  const auto epoch = peer->second.mEpochs.find(aPartition);
  return epoch == peer->second.mEpochs.end() ? 0 : epoch->second;
}

uint64_t
PeerTable::OwnerOf(uint32_t aPartition) const
{
  const auto found = mOwners.find(aPartition);
  return found == mOwners.end() ? 0 : found->second.mPeer;
}

}

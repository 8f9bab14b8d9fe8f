#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/transport/peer_event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::sidecar {

// The entries known to this sidecar, by incarnation, with their connections and the partition
// epochs that they have announced.
class PeerTable
{
public:
  // Ignored unless the peer is an entry.
  void Connected(transport::LinkId aLink, const wire::HelloT& aHello);
  void Lost(transport::LinkId aLink);

  // Incarnation of the entry behind a link; 0 if the link is unknown.
  uint64_t PeerOf(transport::LinkId aLink) const;

  // The newest open link of an entry.
  std::optional<transport::LinkId> NewestLink(uint64_t aPeer) const;

  // Newest link of each connected entry.
  std::vector<transport::LinkId> EntryLinks() const;

  // Records that an entry claims a partition in aEpoch.
  void RaiseEpoch(uint64_t aPeer, uint32_t aPartition, uint64_t aEpoch);

  // Highest epoch that the entry has announced for the partition; 0 if none.
  uint64_t EpochOf(uint64_t aPeer, uint32_t aPartition) const;

  // Incarnation of the entry with the highest epoch of a partition; 0 if none.
  uint64_t OwnerOf(uint32_t aPartition) const;

private:
  struct Peer
  {
    std::string mInstance;
    std::vector<transport::LinkId> mLinks; // Oldest first.
    std::map<uint32_t, uint64_t> mEpochs;
    uint64_t mChangeNumber = 0; // Number of the last connect or disconnect.
  };

  struct Owner
  {
    uint64_t mPeer = 0;
    uint64_t mEpoch = 0;
  };

  void DropOldestUnconnected();

  std::map<uint64_t, Peer> mPeers;
  std::map<transport::LinkId, uint64_t> mLinks;
  std::map<uint32_t, Owner> mOwners;
  uint64_t mNextChangeNumber = 1;
};

}

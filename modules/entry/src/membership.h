#pragma once

#include "context.h"
#include "partition_map.h"
#include "peers.h"
#include "sycamore/entry/core_event.h"
#include "table_state.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamore::entry {

// Dials the peers in the instance list, and publishes this entry's hello and heartbeat.
class Membership
{
public:
  Membership(Context& aContext, Peers& aPeers, PartitionMap& aPartitions, TableState& aTable);

  // Dials the listed instances, and stops dialling those that have been missing from the list for a
  // while.
  void OnInstances(const InstancesRead& aEvent);

  // Publishes hello and heartbeat periodically, and immediately if the owned partitions or the
  // drain state changed.
  void OnTick();

private:
  bool ShouldDial(const world::Instance& aInstance) const;
  void ForgetUnlisted();
  wire::HelloT MakeHello() const;
  wire::HeartbeatT MakeHeartbeat() const;

  Context& mContext;
  Peers& mPeers;
  PartitionMap& mPartitions;
  TableState& mTable;
  std::map<std::string, base::TimePoint> mDialled; // By address: when last listed.
  bool mListFailed = false;
  base::TimePoint mNextPublish;
  std::vector<uint64_t> mPublished; // Owned epochs and drain state at the last publication.
};

}

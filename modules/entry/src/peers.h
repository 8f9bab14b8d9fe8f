#pragma once

#include "context.h"
#include "sycamore/transport/peer_event.h"
#include "sycamore/wire/codec.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamore::entry {

// Work sent to a target, kept until a load report includes it.
struct SentWork
{
  base::TimePoint mSent;
  uint64_t mTokens = 0;
};

// A target behind a sidecar, as reported.
struct TargetView
{
  wire::TargetInfoT mInfo;
  wire::TargetLoadT mLoad;
  base::TimePoint mMeasured; // When the load was measured, on this machine's clock.
  std::deque<SentWork> mSent;
};

// Another process with an open connection.
struct Peer
{
  transport::LinkId mLink = 0;
  wire::Role mRole = wire::Role::Entry;
  std::string mInstance;
  uint64_t mIncarnation = 0;
  std::string mRegion;
  std::string mAddress; // Of an entry: where peers reach it.
  bool mLeaving = false;
  base::TimePoint mHeard;
  uint64_t mConfigVersion = 0;
  std::map<uint32_t, uint64_t> mPartitions; // Of an entry: partitions it owns, with epochs.
  std::map<std::string, TargetView> mTargets;
};

// The connected peers. If an instance has several connections, the newest is the current one.
class Peers
{
public:
  explicit Peers(Context& aContext);

  // Returns the peer of the new connection.
  Peer& OnConnected(const transport::PeerConnected& aEvent);

  // Removes a connection.
  void OnLost(transport::LinkId aLink);

  void OnHeartbeat(Peer& aPeer, const wire::HeartbeatT& aHeartbeat);

  // Sets the instances that the instance list reports as leaving.
  void SetListedLeaving(std::set<std::string> aInstances);

  // Null if the connection is not known.
  Peer* Find(transport::LinkId aLink);

  // The current connection of an instance; null if none.
  Peer* Sidecar(const std::string& aInstance);
  Peer* Entry(const std::string& aInstance);

  // Whether aPeer takes no new work.
  bool IsLeaving(const Peer& aPeer) const;

  void ForEach(const std::function<void(const Peer&)>& aFunction) const;

  // Current connections.
  std::vector<Peer*> Sidecars();
  std::vector<Peer*> Entries();

  // Number of connected entries that are not leaving, plus this one.
  size_t LiveEntries();

private:
  Peer* Current(wire::Role aRole, const std::string& aInstance);
  std::vector<Peer*> CurrentOf(wire::Role aRole);

  Context& mContext;
  std::map<transport::LinkId, Peer> mPeers;
  std::map<std::pair<wire::Role, std::string>, transport::LinkId> mCurrent;
  std::set<std::string> mListedLeaving;
};

}

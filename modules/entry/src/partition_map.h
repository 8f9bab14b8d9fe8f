#pragma once

#include "commits.h"
#include "context.h"
#include "peers.h"
#include "sycamore/ledger/partition_state.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::entry {

enum class PartitionPhase : uint8_t
{
  Idle,      // Not owned here.
  Opening,   // Its stream is being read, so that it can be claimed.
  Claiming,  // A claim is appended and not folded.
  Owned,     // This entry serves it.
  Releasing, // A release is appended and not folded.
};

struct Partition
{
  PartitionPhase mPhase = PartitionPhase::Idle;
  std::shared_ptr<ledger::PartitionState> mState; // Null in phases Idle and Opening.
  uint64_t mEpoch = 0;                            // The epoch of this entry's claim.
  bool mReleased = false; // Whether the stream was released before this entry's claim.
  std::string mOwner;     // The instance that owns it, if another entry does; empty if unknown.
  uint64_t mOwnerEpoch = 0;
  base::TimePoint mOwnerHeardAt;
  base::TimePoint mRetryAt;                    // Earliest time of the next attempt to claim.
  std::optional<base::TimePoint> mLogFailedAt; // When the log last failed.
};

// Receives changes of ownership.
class PartitionObserver
{
public:
  virtual ~PartitionObserver() = default;

  // This entry has become the owner of aPartition.
  virtual void OnAcquired(uint32_t aPartition) = 0;

  // This entry no longer owns aPartition. Its state is still readable during the call.
  virtual void OnLost(uint32_t aPartition) = 0;

  // Another entry has become known as the owner of aPartition.
  virtual void OnOwnerKnown(uint32_t aPartition) = 0;
};

// Tracks which partitions this entry owns and which entries own the others. That a partition has at
// most one owner is ensured by the fold alone; the rules here only decide when to claim
// (docs/design.md, section 3.1).
class PartitionMap
{
public:
  PartitionMap(Context& aContext, Peers& aPeers, Commits& aCommits, PartitionObserver& aObserver);

  // The state of aPartition if this entry owns it; null otherwise, also while it claims or
  // releases.
  ledger::PartitionState* Owned(uint32_t aPartition);

  // The owner's instance if it is another entry that is connected; empty otherwise.
  std::string RemoteOwner(uint32_t aPartition);

  const Partition& At(uint32_t aPartition) const { return mPartitions[aPartition]; }
  uint32_t Count() const { return static_cast<uint32_t>(mPartitions.size()); }
  uint32_t OwnedCount() const;

  // Whether the log fails for every partition that is owned here.
  bool IsLogFailingForAllOwned() const;

  // Whether every partition has a known owner.
  bool AllOwnersKnown();

  void OnOpened(const ledger::PartitionOpened& aEvent);
  void OnBatch(const ledger::BatchRead& aEvent);
  void OnLogAccessFailed(const ledger::LogAccessFailed& aEvent);
  void OnHeartbeat(const Peer& aPeer);

  // Whether appends or reads of aPartition failed recently.
  bool IsLogFailing(uint32_t aPartition) const;

  // Claims partitions without a live owner for which this entry is the preferred claimant.
  void OnTick();

  // Steps down from every partition and reads the streams again before serving: another entry may
  // have claimed partitions while this process was paused.
  void OnPause();

  // Steps down from aPartition and reads its stream again.
  void Reopen(uint32_t aPartition);

  // Appends a Release record. Requires that no call of the partition is in flight.
  void Release(uint32_t aPartition);

private:
  bool IsPreferredClaimant(uint32_t aPartition);
  bool OwnerIsAlive(const Partition& aPartition);
  bool IsNewOwner(const Partition& aPartition, const ledger::PartitionState& aState);
  void TryClaim(uint32_t aPartition);
  void SetRemoteOwner(uint32_t aPartition, const std::string& aOwner, uint64_t aEpoch);
  void OnClaimFolded(uint32_t aPartition, CommitResult aResult);
  void StepDown(uint32_t aPartition);

  Context& mContext;
  Peers& mPeers;
  Commits& mCommits;
  PartitionObserver& mObserver;
  std::vector<Partition> mPartitions;
  std::optional<base::TimePoint> mPausedAt; // When the last pause of this process was noticed.
};

}

#include "partition_map.h"

#include "sycamore/base/log.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sycamore::entry {

using base::LogEvent;
using Phase = PartitionPhase;

// Pause before the stream of a partition is read again after an unsuccessful attempt.
static constexpr base::Millis kRetryPause{ 500 };

// A log failure counts as current for this time after its last report. The ledger retries a failing
// operation, and reports it again, at least every 2 s.
static constexpr base::Millis kLogFailureMaxAge{ 5000 };

PartitionMap::PartitionMap(Context& aContext,
                           Peers& aPeers,
                           Commits& aCommits,
                           PartitionObserver& aObserver)
  : mContext(aContext)
  , mPeers(aPeers)
  , mCommits(aCommits)
  , mObserver(aObserver)
  , mPartitions(aContext.mSettings.mPartitions)
{
  for (Partition& partition : mPartitions) {
    partition.mOwnerHeardAt = aContext.mStarted;
    partition.mRetryAt = aContext.mStarted;
  }
}

ledger::PartitionState*
PartitionMap::Owned(uint32_t aPartition)
{
  const Partition& partition = mPartitions[aPartition];
  return partition.mPhase == Phase::Owned ? partition.mState.get() : nullptr;
}

std::string
PartitionMap::RemoteOwner(uint32_t aPartition)
{
  const Partition& partition = mPartitions[aPartition];
  if (partition.mPhase != Phase::Idle || partition.mOwner.empty()) {
    return "";
  }
  return mPeers.Entry(partition.mOwner) == nullptr ? "" : partition.mOwner;
}

uint32_t
PartitionMap::OwnedCount() const
{
  return static_cast<uint32_t>(
    std::count_if(mPartitions.begin(), mPartitions.end(), [](const Partition& aPartition) {
      return aPartition.mPhase != Phase::Idle && aPartition.mPhase != Phase::Opening;
    }));
}

bool
PartitionMap::IsLogFailingForAllOwned() const
{
  for (uint32_t i = 0; i < Count(); ++i) {
    const Phase phase = mPartitions[i].mPhase;
    if (phase != Phase::Idle && phase != Phase::Opening && !IsLogFailing(i)) {
      return false;
    }
  }
  return true;
}

bool
PartitionMap::AllOwnersKnown()
{
  for (uint32_t i = 0; i < Count(); ++i) {
    if (Owned(i) == nullptr && RemoteOwner(i).empty()) {
      return false;
    }
  }
  return true;
}

// Rendezvous hashing: of the entries that are connected and not leaving, the one with the highest
// hash for the partition claims it.
bool
PartitionMap::IsPreferredClaimant(uint32_t aPartition)
{
  const uint64_t salt = base::StableHash(std::to_string(aPartition));
  const std::string& self = mContext.mSettings.mInstance;
  const auto weight = [salt](const std::string& aInstance) {
    return std::pair(base::MixHash(salt, base::StableHash(aInstance)), aInstance);
  };
  const auto own = weight(self);
  const std::vector<Peer*> entries = mPeers.Entries();
  return std::all_of(entries.begin(), entries.end(), [&](const Peer* aPeer) {
    return mPeers.IsLeaving(*aPeer) || weight(aPeer->mInstance) < own;
  });
}

// A connected owner counts as alive: the transport closes a silent connection after the silence
// timeout or three heartbeat intervals, whichever is longer.
bool
PartitionMap::OwnerIsAlive(const Partition& aPartition)
{
  if (!aPartition.mOwner.empty() && mPeers.Entry(aPartition.mOwner) != nullptr) {
    return true;
  }
  return mContext.mNow - aPartition.mOwnerHeardAt < mContext.mSettings.mOwnerTimeout;
}

void
PartitionMap::OnTick()
{
  if (mContext.mDraining) {
    return;
  }
  for (uint32_t i = 0; i < Count(); ++i) {
    Partition& partition = mPartitions[i];
    const bool due = partition.mPhase == Phase::Idle && mContext.mNow >= partition.mRetryAt;
    if (due && !OwnerIsAlive(partition) && IsPreferredClaimant(i)) {
      partition.mPhase = Phase::Opening;
      mContext.mEffects.OpenPartition(i);
    }
  }
}

void
PartitionMap::OnOpened(const ledger::PartitionOpened& aEvent)
{
  const uint32_t index = aEvent.mState->mPartition;
  assert(index < Count());
  Partition& partition = mPartitions[index];
  if (partition.mPhase != Phase::Opening) {
    return;
  }
  const ledger::PartitionState& state = *aEvent.mState;
  if (mContext.mDraining || IsNewOwner(partition, state)) {
    partition.mPhase = Phase::Idle;
    mContext.mEffects.Abandon(index);
    if (!state.mOwner.empty()) {
      SetRemoteOwner(index, state.mOwner, state.mEpoch);
    }
    return;
  }
  partition.mState = aEvent.mState;
  partition.mReleased = state.mEpoch > 0 && state.mOwner.empty();
  TryClaim(index);
}

// Whether the log names another owner that was not known here and may be alive: one that is
// connected, or any owner if this process was paused recently and so may have missed its
// heartbeats. Such an owner has one owner timeout to list the partition in a heartbeat.
bool
PartitionMap::IsNewOwner(const Partition& aPartition, const ledger::PartitionState& aState)
{
  const bool other = !aState.mOwner.empty() && aState.mOwnerIncarnation != mContext.mIncarnation;
  if (!other || aState.mEpoch <= aPartition.mOwnerEpoch) {
    return false;
  }
  const Peer* owner = mPeers.Entry(aState.mOwner);
  const bool connected = owner != nullptr && owner->mIncarnation == aState.mOwnerIncarnation;
  const bool paused = mPausedAt && mContext.mNow - *mPausedAt < mContext.mSettings.mOwnerTimeout;
  return connected || paused;
}

void
PartitionMap::TryClaim(uint32_t aPartition)
{
  Partition& partition = mPartitions[aPartition];
  wire::LogClaimT claim;
  claim.epoch = partition.mState->mEpoch + 1;
  claim.entry = mContext.mSettings.mInstance;
  claim.incarnation = mContext.mIncarnation;
  claim.peer_address = mContext.mPeerAddress;
  partition.mEpoch = claim.epoch;
  partition.mPhase = Phase::Claiming;
  ++mContext.mStats.mClaims;
  base::Log(LogEvent::PartitionClaiming, "partition {} epoch {}", aPartition, claim.epoch);
  const bool queued = mCommits.Claim(
    aPartition, std::move(claim), [this, aPartition](CommitResult aResult, uint64_t) {
      OnClaimFolded(aPartition, aResult);
    });
  if (!queued) {
    StepDown(aPartition);
  }
}

void
PartitionMap::OnClaimFolded(uint32_t aPartition, CommitResult aResult)
{
  Partition& partition = mPartitions[aPartition];
  if (partition.mPhase != Phase::Claiming) {
    return;
  }
  const bool current = partition.mState->mEpoch == partition.mEpoch &&
                       partition.mState->mOwnerIncarnation == mContext.mIncarnation;
  if (aResult != CommitResult::Accepted || !current) {
    StepDown(aPartition);
    return;
  }
  partition.mPhase = Phase::Owned;
  partition.mOwner.clear();
  base::Log(LogEvent::PartitionOwned, "partition {} epoch {}", aPartition, partition.mEpoch);
  mObserver.OnAcquired(aPartition);
}

void
PartitionMap::OnBatch(const ledger::BatchRead& aEvent)
{
  assert(aEvent.mPartition < Count());
  Partition& partition = mPartitions[aEvent.mPartition];
  if (partition.mState == nullptr || aEvent.mOffset < partition.mState->mNextOffset) {
    return;
  }
  partition.mLogFailedAt.reset();
  const ledger::Verdict verdict =
    ledger::ApplyBatch(*partition.mState, aEvent.mOffset, *aEvent.mBatch);
  mCommits.OnFolded(aEvent, verdict);
  if (partition.mState == nullptr || partition.mPhase == Phase::Claiming) {
    return;
  }
  const ledger::PartitionState& state = *partition.mState;
  const bool own =
    state.mEpoch == partition.mEpoch && state.mOwnerIncarnation == mContext.mIncarnation;
  const bool invalid = verdict == ledger::Verdict::Invalid && !aEvent.mOperationIds.empty();
  if (invalid) {
    base::Log(LogEvent::BatchIgnored,
              "partition {}: a batch appended by this entry is invalid",
              aEvent.mPartition);
  }
  if (!own || invalid) {
    StepDown(aEvent.mPartition);
  }
}

void
PartitionMap::OnLogAccessFailed(const ledger::LogAccessFailed& aEvent)
{
  assert(aEvent.mPartition < Count());
  Partition& partition = mPartitions[aEvent.mPartition];
  if (!partition.mLogFailedAt) {
    base::Log(LogEvent::LogAppendFailed, "partition {}: {}", aEvent.mPartition, aEvent.mMessage);
  }
  partition.mLogFailedAt = mContext.mNow;
  if (aEvent.mMustReopen) {
    Reopen(aEvent.mPartition);
  }
}

bool
PartitionMap::IsLogFailing(uint32_t aPartition) const
{
  const auto& failedAt = mPartitions[aPartition].mLogFailedAt;
  return failedAt && mContext.mNow - *failedAt < kLogFailureMaxAge;
}

void
PartitionMap::StepDown(uint32_t aPartition)
{
  Partition& partition = mPartitions[aPartition];
  const bool served = partition.mPhase != Phase::Claiming;
  const bool released = partition.mPhase == Phase::Releasing;
  mContext.mEffects.Abandon(aPartition);
  partition.mPhase = Phase::Idle;
  partition.mRetryAt = mContext.mNow + kRetryPause;
  base::Log(released ? LogEvent::PartitionReleased : LogEvent::PartitionLost,
            "partition {} epoch {}",
            aPartition,
            partition.mEpoch);
  if (served) {
    mContext.mStats.mPartitionsLost += released ? 0 : 1;
    mObserver.OnLost(aPartition);
  }
  mCommits.ReportLost(aPartition);
  const std::shared_ptr<ledger::PartitionState> state = std::exchange(partition.mState, nullptr);
  if (state != nullptr && !state->mOwner.empty() &&
      state->mOwnerIncarnation != mContext.mIncarnation) {
    SetRemoteOwner(aPartition, state->mOwner, state->mEpoch);
  }
}

void
PartitionMap::SetRemoteOwner(uint32_t aPartition, const std::string& aOwner, uint64_t aEpoch)
{
  Partition& partition = mPartitions[aPartition];
  if (aEpoch < partition.mOwnerEpoch) {
    return;
  }
  const bool changed = partition.mOwner != aOwner;
  partition.mOwner = aOwner;
  partition.mOwnerEpoch = aEpoch;
  partition.mOwnerHeardAt = mContext.mNow;
  if (changed) {
    mObserver.OnOwnerKnown(aPartition);
  }
}

void
PartitionMap::OnHeartbeat(const Peer& aPeer)
{
  for (uint32_t i = 0; i < Count(); ++i) {
    Partition& partition = mPartitions[i];
    const auto listed = aPeer.mPartitions.find(i);
    if (listed != aPeer.mPartitions.end()) {
      if (partition.mState != nullptr && listed->second > partition.mEpoch) {
        StepDown(i);
      }
      if (partition.mPhase == Phase::Idle) {
        SetRemoteOwner(i, aPeer.mInstance, listed->second);
      }
    } else if (partition.mPhase == Phase::Idle && partition.mOwner == aPeer.mInstance &&
               mContext.mNow - partition.mOwnerHeardAt > base::Millis{ 1500 }) {
      // The owner no longer lists the partition in its heartbeats: it released the partition.
      partition.mOwner.clear();
      partition.mOwnerHeardAt = mContext.mNow - mContext.mSettings.mOwnerTimeout;
    }
  }
}

void
PartitionMap::OnPause()
{
  mPausedAt = mContext.mNow;
  for (uint32_t i = 0; i < Count(); ++i) {
    if (mPartitions[i].mPhase != Phase::Idle) {
      Reopen(i);
    }
  }
}

void
PartitionMap::Reopen(uint32_t aPartition)
{
  Partition& partition = mPartitions[aPartition];
  if (partition.mState != nullptr) {
    StepDown(aPartition);
  }
  if (!mContext.mDraining) {
    partition.mPhase = Phase::Opening;
    mContext.mEffects.OpenPartition(aPartition);
  }
}

void
PartitionMap::Release(uint32_t aPartition)
{
  Partition& partition = mPartitions[aPartition];
  assert(partition.mPhase == Phase::Owned);
  wire::LogReleaseT release;
  release.epoch = partition.mEpoch;
  partition.mPhase = Phase::Releasing;
  const bool queued =
    mCommits.Append(aPartition, wire::MakeEntry(release), [](CommitResult, uint64_t) {});
  if (!queued) {
    partition.mPhase = Phase::Owned;
  }
}

}

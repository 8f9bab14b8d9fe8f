#include "program_memory.h"

#include "wire_ids.h"

#include <utility>

namespace sycamore::entry {

// Unacknowledged releases are sent again after this time.
static constexpr base::Millis kReleaseRetryInterval{ 2000 };

// Programs in one Hold frame; at about 30 bytes each this keeps the frame near 30 KB.
static constexpr size_t kHoldsPerFrame = 1000;

ProgramMemory::ProgramMemory(Context& aContext,
                             Peers& aPeers,
                             ProgramRegistry& aPrograms,
                             Router& aRouter)
  : mContext(aContext)
  , mPeers(aPeers)
  , mPrograms(aPrograms)
  , mRouter(aRouter)
  , mNextHold(aContext.mStarted)
  , mNextRelease(aContext.mStarted)
{
}

void
ProgramMemory::OnResumed(base::Millis aPause)
{
  mPauses.Add(aPause);
}

void
ProgramMemory::Release(const base::ProgramId& aProgram)
{
  const std::set<std::string> holders = mRouter.Holders(aProgram);
  mRouter.ForgetProgram(aProgram);
  if (holders.empty()) {
    return;
  }
  mReleases[aProgram] = Pending{ holders, mContext.mNow + 2 * mContext.mSettings.mHoldLease };
  for (const std::string& sidecar : holders) {
    SendRelease(aProgram, sidecar);
  }
}

void
ProgramMemory::SendRelease(const base::ProgramId& aProgram, const std::string& aSidecar)
{
  const Peer* peer = mPeers.Sidecar(aSidecar);
  if (peer == nullptr) {
    return;
  }
  wire::ReleaseT release;
  release.program = ToFrame(aProgram);
  mContext.mEffects.SendFrame(peer->mLink, wire::MakeFrame(std::move(release)));
}

void
ProgramMemory::OnReleaseAck(const Peer& aPeer, const base::ProgramId& aProgram)
{
  const auto found = mReleases.find(aProgram);
  if (found == mReleases.end()) {
    return;
  }
  found->second.mSidecars.erase(aPeer.mInstance);
  if (found->second.mSidecars.empty()) {
    mReleases.erase(found);
  }
}

void
ProgramMemory::OnTick()
{
  if (mContext.mNow >= mNextHold) {
    mNextHold = mContext.mNow + mContext.mSettings.mHoldInterval;
    SendHolds();
  }
  if (mContext.mNow < mNextRelease) {
    return;
  }
  mNextRelease = mContext.mNow + kReleaseRetryInterval;
  std::erase_if(mReleases,
                [this](const auto& aPair) { return mContext.mNow >= aPair.second.mUntil; });
  for (const auto& [program, pending] : mReleases) {
    for (const std::string& sidecar : pending.mSidecars) {
      SendRelease(program, sidecar);
    }
  }
}

bool
ProgramMemory::IsWorthHolding(const base::ProgramId& aProgram, const ProgramRuntime& aRuntime) const
{
  const auto idle = std::chrono::duration_cast<base::Millis>(mContext.mNow - aRuntime.mLastActive);
  return !aRuntime.mEnding && policy::IsWorthHolding(mPauses,
                                                     mRouter.HeldTokens(aProgram),
                                                     idle,
                                                     mContext.mSettings.mHoldLease,
                                                     policy::HoldCosts{});
}

void
ProgramMemory::SendHolds()
{
  std::map<std::string, wire::HoldT> holds;
  const auto send = [this](const std::string& aSidecar, wire::HoldT& aHold) {
    const Peer* peer = mPeers.Sidecar(aSidecar);
    if (peer != nullptr && !aHold.programs.empty()) {
      aHold.lease_ms = static_cast<uint64_t>(mContext.mSettings.mHoldLease.count());
      mContext.mEffects.SendFrame(peer->mLink, wire::MakeFrame(std::move(aHold)));
    }
    aHold = wire::HoldT{};
  };
  mPrograms.ForEach([&](const base::ProgramId& aId, const ProgramRuntime& aRuntime) {
    if (!IsWorthHolding(aId, aRuntime)) {
      return;
    }
    // Only the longest prefix is held; the leases of shorter ones on other sidecars expire.
    const std::string sidecar = mRouter.BestHolder(aId);
    if (sidecar.empty()) {
      return;
    }
    wire::HoldT& hold = holds[sidecar];
    hold.programs.push_back(ToFrame(aId));
    if (hold.programs.size() >= kHoldsPerFrame) {
      send(sidecar, hold);
    }
  });
  for (auto& [sidecar, hold] : holds) {
    send(sidecar, hold);
  }
}

}

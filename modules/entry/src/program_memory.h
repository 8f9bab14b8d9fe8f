#pragma once

#include "partition_map.h"
#include "peers.h"
#include "program_book.h"
#include "router.h"
#include "sycamore/policy/hold.h"

#include <map>
#include <set>
#include <string>

namespace sycamore::entry {

// Engine memory of programs: holds it for programs worth keeping, and releases it at their end
// until the sidecars acknowledge (docs/design.md, section 3.7).
class ProgramMemory
{
public:
  ProgramMemory(Context& aContext, Peers& aPeers, ProgramBook& aPrograms, Router& aRouter);

  // A program has resumed after a pause.
  void OnResumed(base::Millis aPause);

  // Releases what the sidecars hold for aProgram.
  void Release(const base::ProgramId& aProgram);
  void OnReleaseAck(const Peer& aPeer, const base::ProgramId& aProgram);

  void OnTick();

  size_t PendingReleases() const { return mReleases.size(); }

private:
  struct Pending
  {
    std::set<std::string> mSidecars;
    base::TimePoint mUntil; // Later the leases have ended.
  };

  void SendRelease(const base::ProgramId& aProgram, const std::string& aSidecar);
  void SendHolds();
  bool IsWorthHolding(const base::ProgramId& aProgram, const ProgramRuntime& aRuntime) const;

  Context& mContext;
  Peers& mPeers;
  ProgramBook& mPrograms;
  Router& mRouter;
  policy::PauseHistogram mPauses;
  std::map<base::ProgramId, Pending> mReleases;
  base::TimePoint mNextHold;
  base::TimePoint mNextRelease;
};

}

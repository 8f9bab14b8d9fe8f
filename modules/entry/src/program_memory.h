#pragma once

#include "partition_map.h"
#include "peers.h"
#include "program_registry.h"
#include "router.h"
#include "sycamore/policy/hold.h"

#include <map>
#include <set>
#include <string>

namespace sycamore::entry {

// Manages the programs' cached prefixes in the engines: renews hold leases while keeping a prefix
// is worth its memory, and when a program ends, sends releases until the sidecars acknowledge
// (docs/design.md, section 3.7).
class ProgramMemory
{
public:
  ProgramMemory(Context& aContext, Peers& aPeers, ProgramRegistry& aPrograms, Router& aRouter);

  // Records the pause between two calls of a program.
  void OnResumed(base::Millis aPause);

  // Tells the sidecars to release the cached prefixes of aProgram.
  void Release(const base::ProgramId& aProgram);
  void OnReleaseAck(const Peer& aPeer, const base::ProgramId& aProgram);

  void OnTick();

  size_t PendingReleases() const { return mReleases.size(); }

private:
  struct Pending
  {
    std::set<std::string> mSidecars;
    base::TimePoint mUntil; // No retries after this time: the leases have expired by then.
  };

  void SendRelease(const base::ProgramId& aProgram, const std::string& aSidecar);
  void SendHolds();
  bool IsWorthHolding(const base::ProgramId& aProgram, const ProgramRuntime& aRuntime) const;

  Context& mContext;
  Peers& mPeers;
  ProgramRegistry& mPrograms;
  Router& mRouter;
  policy::PauseHistogram mPauses;
  std::map<base::ProgramId, Pending> mReleases;
  base::TimePoint mNextHold;
  base::TimePoint mNextRelease;
};

}

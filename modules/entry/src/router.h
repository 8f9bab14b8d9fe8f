#pragma once

#include "context.h"
#include "peers.h"
#include "sycamore/base/program_id.h"
#include "sycamore/policy/routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::entry {

// The target of a dispatch and the connection to its sidecar.
struct Route
{
  transport::LinkId mLink = 0;
  std::string mSidecar;
  uint64_t mIncarnation = 0;
  std::string mTarget;
  uint64_t mMissingTokens = 0; // Estimated prompt tokens that the target has not cached.
};

// Chooses targets, and records which targets have which programs' prompts in their prefix caches.
class Router
{
public:
  Router(Context& aContext, Peers& aPeers);

  // The best target of aService; nothing if none is usable. aExcluded are targets to avoid.
  std::optional<Route> Choose(const std::string& aService,
                              const base::ProgramId& aProgram,
                              const policy::RouteRequest& aRequest,
                              const std::set<std::string>& aExcluded);

  // Adds dispatched work to the target's load until a load report includes it.
  void OnSent(const Route& aRoute, const policy::RouteRequest& aRequest);

  // The target's prefix cache now holds about aTokens of the program's prompt; 0: nothing.
  void NotePrefix(const base::ProgramId& aProgram, const std::string& aTarget, uint64_t aTokens);

  void ForgetProgram(const base::ProgramId& aProgram);
  void ForgetPartition(uint32_t aPartition);

  // The kind, "engine" or "tool", of the targets of aService seen since this process started; empty
  // if there was none.
  std::string KindOf(const std::string& aService) const;

  // Records the services and targets of a new sidecar connection.
  void OnConnected(const Peer& aPeer);

  // Sidecars whose targets have a prefix of aProgram cached.
  std::set<std::string> Holders(const base::ProgramId& aProgram) const;

  // The sidecar whose target has the longest cached prefix of aProgram, where its next call will
  // probably run; empty if none is known.
  std::string BestHolder(const base::ProgramId& aProgram) const;

  // Estimated tokens cached for aProgram in all targets together.
  uint64_t HeldTokens(const base::ProgramId& aProgram) const;

private:
  policy::ReplicaView ViewOf(const Peer& aPeer,
                             const TargetView& aTarget,
                             const base::ProgramId& aProgram) const;

  Context& mContext;
  Peers& mPeers;
  std::map<std::string, std::string> mKindByService; // Kind of target by service.
  std::map<std::string, std::string> mSidecarOf;     // By target.
  std::map<base::ProgramId, std::map<std::string, uint64_t>> mPrefixes;
  size_t mRoundRobin = 0;
};

}

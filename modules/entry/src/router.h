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

// Where a call goes.
struct Route
{
  transport::LinkId mLink = 0;
  std::string mSidecar;
  uint64_t mIncarnation = 0;
  std::string mTarget;
  uint64_t mMissingTokens = 0; // Prompt tokens that the target has to compute, as far as known.
};

// Chooses targets, and remembers where the prefixes of programs are.
class Router
{
public:
  Router(Context& aContext, Peers& aPeers);

  // The best target of aService; nothing if none is usable. aExcluded are targets to avoid.
  std::optional<Route> Choose(const std::string& aService,
                              const base::ProgramId& aProgram,
                              const policy::RouteRequest& aRequest,
                              const std::set<std::string>& aExcluded);

  // Counts work against a target until its next load report covers it.
  void OnSent(const Route& aRoute, const policy::RouteRequest& aRequest);

  // The target now holds about aTokens of the program's prompt; 0: nothing.
  void NotePrefix(const base::ProgramId& aProgram, const std::string& aTarget, uint64_t aTokens);

  void ForgetProgram(const base::ProgramId& aProgram);
  void ForgetPartition(uint32_t aPartition);

  // "engine" or "tool" by the targets of aService seen since the start of this process; empty if
  // there was none.
  std::string KindOf(const std::string& aService) const;

  // Notes the services of a new connection.
  void OnConnected(const Peer& aPeer);

  // Sidecars whose targets hold a prefix of aProgram.
  std::set<std::string> Holders(const base::ProgramId& aProgram) const;

  // The sidecar whose target holds the longest prefix of aProgram, where its next call is expected;
  // empty if none is known.
  std::string BestHolder(const base::ProgramId& aProgram) const;

  // Tokens held for aProgram, as far as known, in all targets.
  uint64_t HeldTokens(const base::ProgramId& aProgram) const;

private:
  policy::ReplicaView ViewOf(const Peer& aPeer,
                             const TargetView& aTarget,
                             const base::ProgramId& aProgram) const;

  Context& mContext;
  Peers& mPeers;
  std::map<std::string, std::string> mServices;  // Kinds of targets.
  std::map<std::string, std::string> mSidecarOf; // By target.
  std::map<base::ProgramId, std::map<std::string, uint64_t>> mPrefixes;
  size_t mTurn = 0;
};

}

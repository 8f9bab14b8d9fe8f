#pragma once

#include "recent_hashes.h"
#include "request_hash.h"
#include "shared_facts.h"
#include "sycamore/gateway/replica.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace sycamore::gateway {

// Tells the requests that crash the replicas which run them from those that merely run beside them.
// A request that comes again is known by its hashes; crashes count for its path alone too, since
// its body may vary, unless other requests with that path complete. What crashed at one gateway
// counts at all, by way of the shared facts. Lives on one event loop.
//
// One crash tells little: all calls that the replica was running or had accepted end with it. The
// culprit is the one that is there each time, has just begun and never completes. A request is
// barred after three crashes of different incarnations in which it may have begun without an event
// sent, or five in which it had not been answered at all. One that completes anywhere is cleared.
class CrashSuspects
{
public:
  // aFacts outlives this object.
  explicit CrashSuspects(SharedFacts& aFacts);

  // Whether aRequest must not reach another replica.
  bool IsBarred(const RequestHash& aRequest) const;

  // Whether aRequest is barred if the replicas at which it broke off here turn out to have ended:
  // their probes are under way.
  bool AwaitsVerdict(const RequestHash& aRequest) const;

  // Records that aRequest broke off at a replica, and that the probe of that replica has ended.
  // aMayHaveBegun as in NoteCrash.
  void NoteProbeStarted(const RequestHash& aRequest, bool aMayHaveBegun);
  void NoteProbeEnded(const RequestHash& aRequest, bool aMayHaveBegun);

  // Records that aReplica ended while it had aRequest. aMayHaveBegun is false if it had probably
  // only accepted it.
  void NoteCrash(const RequestHash& aRequest, const Replica& aReplica, bool aMayHaveBegun);

  // Records that a replica has run aRequest to its end.
  void NoteCompleted(const RequestHash& aRequest);

  // Forgets the requests whose facts have expired at aNow.
  void Expire(base::TimePoint aNow);

  size_t BarredCount() const;

private:
  // One incarnation of a replica.
  using Incarnation = std::pair<std::string, int64_t>;

  struct Suspect
  {
    std::set<Incarnation> mCrashed;      // While they had the request.
    std::set<Incarnation> mCrashedBegun; // Of these, while it may have begun.
    bool mCompleted = false;
    base::TimePoint mExpires;
  };

  // Calls that broke off at replicas whose probes are under way.
  struct Probed
  {
    size_t mBroken = 0;
    size_t mBegun = 0; // Of these, those that may have begun.
  };

  static bool IsBarred(const Suspect& aSuspect);
  bool IsBarred(uint64_t aHash) const;
  void NoteCompleted(uint64_t aHash);
  void OnCrash(const ReplicaCrash& aCrash, const Fact& aFact, SharedFacts::Origin aOrigin);
  void OnCompleted(const RequestCompleted& aCompleted, const Fact& aFact);

  SharedFacts& mFacts;
  std::map<uint64_t, Suspect> mSuspects; // By the hash of the request or of its path.
  std::map<uint64_t, Probed> mProbed;    // By the hash of the request.
  RecentHashes mCompleted;               // Requests and paths that completed here.
};

}

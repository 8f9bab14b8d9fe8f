#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

// The replicas that may receive calls, as the platform lists them. Not thread-safe.
//
// An entry that disappears usually means that the replica has left. During an outage of the
// platform's store, entries expire although their replicas are alive, and reappear soon after it
// ends. An entry that is removed shortly after a store failure therefore stays usable for a grace
// period.
class ReplicaList
{
public:
  // aReplica is nothing if the entry was removed or does not describe a usable replica.
  void Update(const std::string& aId, std::optional<Replica> aReplica, base::TimePoint aNow);

  // Replaces the whole list; entries that are missing in aReplicas count as removed.
  void Replace(const std::map<std::string, Replica>& aReplicas, base::TimePoint aNow);

  // Records that the incarnation aReplica said in an answer that it leaves. It is not usable again,
  // whatever the platform lists and also if its entry expires and comes back. Returns whether that
  // is news.
  bool NoteLeaving(const Replica& aReplica, base::TimePoint aNow);

  // Records that the store failed to answer at aNow.
  void NoteStoreFailure(base::TimePoint aNow) { mLastStoreFailure = aNow; }

  // The replicas of aService that may receive calls at aNow, in the order of their ids.
  std::vector<const Replica*> Usable(const std::string& aService, base::TimePoint aNow) const;

  // The replica with aId, also one that is leaving; null if it is not listed.
  const Replica* Find(const std::string& aId) const;

  // The ids of all listed replicas.
  std::vector<std::string> Ids() const;

  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Replica mReplica;
    std::optional<base::TimePoint> mUsableUntil; // Set once the entry was removed.
  };

  // An incarnation that said that it leaves.
  struct LeavingMark
  {
    http::Endpoint mEndpoint;
    int64_t mStartedUnixMs = 0;
    base::TimePoint mNotedAt;
  };

  // Enters aReplica, as leaving if it said so.
  void List(const std::string& aId, Replica aReplica);
  void Remove(const std::string& aId, base::TimePoint aNow);
  bool SaidThatItLeaves(const Replica& aReplica) const;

  std::map<std::string, LeavingMark> mLeaving; // By id.
  std::map<std::string, Entry> mEntries;
  std::optional<base::TimePoint> mLastStoreFailure;
};

}

#pragma once

#include "member.h"
#include "request_quota.h"
#include "shared_facts.h"
#include "sycamore/gateway/replica.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::gateway {

// The limits that replicas name, as read in answers or heard from other gateways, and what this
// gateway may send under them. Lives on one event loop.
class ReplicaLimits
{
public:
  // The region of a failure domain.
  using RegionOf = std::function<std::string_view(const std::string&)>;

  // aFacts outlives this object. aOwn is this gateway.
  ReplicaLimits(SharedFacts& aFacts, Member aOwn, RegionOf aRegionOf);

  // Sets the gateways of the deployment. Before the first call nothing may be sent to a replica
  // that limits its requests: the number of those that share the limit is not known.
  void SetMembers(const std::vector<Member>& aMembers);

  // Records that an answer of aReplica named aPerSecond, or nothing, to a call sent at aSentAt.
  void NoteAnswer(const Replica& aReplica,
                  std::optional<double> aPerSecond,
                  base::TimePoint aSentAt);

  // The limit of aReplica that is in force; nothing if it names none.
  std::optional<double> LimitOf(const Replica& aReplica) const;

  // Time from aNow until one more call may be sent to aReplica: zero if it names no limit, nothing
  // if this gateway has no share of it.
  std::optional<base::Millis> DelayOf(const Replica& aReplica, base::TimePoint aNow);

  // Counts a call to aReplica that is sent after DelayOf.
  void Take(const Replica& aReplica, base::TimePoint aNow);

  // Takes back a call that was counted and did not reach aReplica.
  void Return(const Replica& aReplica, base::TimePoint aNow);

  // The share of this gateway in the limit of aReplica, as of the last call of DelayOf.
  QuotaShare ShareOf(const Replica& aReplica) const;

  // Drops the limits of replicas that are not in aListed once their facts have expired.
  void Retain(const std::vector<std::string>& aListed);

  // Replicas whose limits are in force.
  size_t LimitedCount() const;

private:
  // The quota at a replica that limits its requests.
  struct Quota
  {
    int64_t mStartedUnixMs = 0;
    std::optional<double> mLimit;
    base::TimePoint mNamedAt;     // When the replica named mLimit.
    uint64_t mMembersVersion = 0; // That mShare follows from; 0 if from none.
    QuotaShare mShare;
    RequestQuota mBucket;
  };

  void OnFact(const Fact& aFact, SharedFacts::Origin aOrigin);
  // The quota at aReplica with the present share; null if it names no limit.
  Quota* QuotaOf(const Replica& aReplica, base::TimePoint aNow);
  // The gateways that a limit of aReplica is shared by: those of its region, whose calls are the
  // ones that go there; all if there are none.
  std::vector<std::string> Candidates(const Replica& aReplica) const;

  SharedFacts& mFacts;
  const Member mOwn;
  const RegionOf mRegionOf;
  std::vector<Member> mMembers; // With this gateway; empty until they are known.
  uint64_t mMembersVersion = 1;
  std::map<std::string, Quota> mQuotas; // By replica.
};

}

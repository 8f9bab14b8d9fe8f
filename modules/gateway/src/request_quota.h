#pragma once

#include "member.h"
#include "sycamore/base/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::gateway {

// The calls that one gateway may send to a replica that limits them: a token bucket. It starts
// empty, and holds one call or a quarter of a second's at most, so that gateways that were idle,
// frozen or restarted do not send together what they have saved.
struct RequestQuota
{
  double mPerSecond = 0;    // 0: none.
  double mTokens = 0;       // At mUpdated; negative while calls wait for their turn.
  base::TimePoint mUpdated; // Set by the first SetRate.
};

// Changes the rate of aQuota at aNow. Calls that wait keep their turn.
void
SetRate(RequestQuota& aQuota, double aPerSecond, base::TimePoint aNow);

// Time from aNow until one more call may be sent; nothing if none may ever be.
std::optional<base::Millis>
DelayOf(const RequestQuota& aQuota, base::TimePoint aNow);

// Counts a call that is sent after DelayOf.
void
Take(RequestQuota& aQuota, base::TimePoint aNow);

// Takes back a call that was counted and did not reach the replica.
void
Return(RequestQuota& aQuota, base::TimePoint aNow);

// Requests a second that a gateway may send, and with how many others it shares the limit.
struct QuotaShare
{
  double mPerSecond = 0; // 0 for a gateway that is not among the holders.
  size_t mHolders = 0;
};

// The share of aInstance in a limit of aPerSecond requests that a replica takes from all gateways.
// The limit is shared by as many gateways as can each have about one request a second, by all if
// there are fewer; the rest sends nothing. aCandidates are those that send to the replica
// otherwise, at most one entry each. Rendezvous hashing: gateways that know the same candidates
// agree, and one that joins or leaves changes one holder.
QuotaShare
ShareOf(const std::string& aInstance,
        const std::vector<std::string>& aCandidates,
        std::string_view aReplica,
        double aPerSecond);

}

#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sycamore::gateway {

// The limit that one incarnation of a replica names in its answers.
struct ReplicaLimit
{
  std::string mReplica;
  int64_t mStartedUnixMs = 0;
  std::optional<double> mPerSecond; // Calls of all gateways together; nothing if it names none.

  bool operator==(const ReplicaLimit&) const = default;
};

// An incarnation of a replica that ended while it had a request.
struct ReplicaCrash
{
  uint64_t mRequest = 0; // Its hash or that of its path, see RequestHash.
  std::string mReplica;
  int64_t mStartedUnixMs = 0;
  // Whether the request may have begun to run; if not, the replica had probably only accepted it.
  bool mMayHaveBegun = false;

  bool operator==(const ReplicaCrash&) const = default;
};

// A request that a replica has run to its end.
struct RequestCompleted
{
  uint64_t mRequest = 0; // Its hash or that of its path, see RequestHash.

  bool operator==(const RequestCompleted&) const = default;
};

// Something that a gateway observed and that the others act on as if they had observed it.
struct Fact
{
  std::variant<ReplicaLimit, ReplicaCrash, RequestCompleted> mWhat;
  base::TimePoint mObservedAt; // By the clock of this process.
};

// What aFact is about: a fact replaces older ones with the same key.
std::string
KeyOf(const Fact& aFact);

// Whether aNew, with the same key as aOld, tells more than it.
bool
Supersedes(const Fact& aNew, const Fact& aOld);

// How long aFact is kept after it was observed.
base::Millis
LifetimeOf(const Fact& aFact);

}

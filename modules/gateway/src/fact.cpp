#include "fact.h"

#include <fmt/format.h>
#include <type_traits>

namespace sycamore::gateway {

// A limit is in force until the replica withdraws it or ends. A replica that has ended withdraws
// nothing, so that its limit expires; one in need for longer names it again in its next answer.
static constexpr base::Seconds kLimitLifetime{ 600 };
// A withdrawn limit is kept until every gateway has heard of it.
static constexpr base::Seconds kWithdrawnLimitLifetime{ 60 };

// A request that crashes replicas may come again for as long as its caller lives.
static constexpr base::Seconds kCrashLifetime{ 600 };

static std::string
KeyOf(const ReplicaLimit& aLimit)
{
  return "limit/" + aLimit.mReplica;
}

static std::string
KeyOf(const ReplicaCrash& aCrash)
{
  return fmt::format(
    "crash/{:016x}/{}/{}", aCrash.mRequest, aCrash.mReplica, aCrash.mStartedUnixMs);
}

static std::string
KeyOf(const RequestCompleted& aCompleted)
{
  return fmt::format("completed/{:016x}", aCompleted.mRequest);
}

static bool
Supersedes(const ReplicaLimit& aNew,
           base::TimePoint aNewAt,
           const ReplicaLimit& aOld,
           base::TimePoint aOldAt)
{
  if (aNew.mStartedUnixMs != aOld.mStartedUnixMs) {
    return aNew.mStartedUnixMs > aOld.mStartedUnixMs;
  }
  return aNew.mPerSecond != aOld.mPerSecond && aNewAt > aOldAt;
}

static bool
Supersedes(const ReplicaCrash& aNew,
           base::TimePoint /*aNewAt*/,
           const ReplicaCrash& aOld,
           base::TimePoint /*aOldAt*/)
{
  return aNew.mMayHaveBegun && !aOld.mMayHaveBegun;
}

static bool
Supersedes(const RequestCompleted& /*aNew*/,
           base::TimePoint /*aNewAt*/,
           const RequestCompleted& /*aOld*/,
           base::TimePoint /*aOldAt*/)
{
  return false;
}

static base::Millis
LifetimeOf(const ReplicaLimit& aLimit)
{
  return aLimit.mPerSecond ? kLimitLifetime : kWithdrawnLimitLifetime;
}

static base::Millis
LifetimeOf(const ReplicaCrash& /*aCrash*/)
{
  return kCrashLifetime;
}

static base::Millis
LifetimeOf(const RequestCompleted& /*aCompleted*/)
{
  return kCrashLifetime;
}

std::string
KeyOf(const Fact& aFact)
{
  return std::visit([](const auto& aWhat) { return KeyOf(aWhat); }, aFact.mWhat);
}

bool
Supersedes(const Fact& aNew, const Fact& aOld)
{
  return std::visit(
    [&](const auto& aWhat) {
      using What = std::decay_t<decltype(aWhat)>;
      const auto* old = std::get_if<What>(&aOld.mWhat);
      return old != nullptr && Supersedes(aWhat, aNew.mObservedAt, *old, aOld.mObservedAt);
    },
    aNew.mWhat);
}

base::Millis
LifetimeOf(const Fact& aFact)
{
  return std::visit([](const auto& aWhat) { return LifetimeOf(aWhat); }, aFact.mWhat);
}

}

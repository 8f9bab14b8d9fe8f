#include "fact.h"

namespace sycamore::gateway {

// A limit is in force until the replica withdraws it or ends. A replica that has ended withdraws
// nothing, so that its limit expires; one in need for longer names it again in its next answer.
static constexpr base::Seconds kLimitLifetime{ 600 };
// A withdrawn limit is kept until every gateway has heard of it.
static constexpr base::Seconds kWithdrawnLimitLifetime{ 60 };

static std::string
KeyOf(const ReplicaLimit& aLimit)
{
  return "limit/" + aLimit.mReplica;
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

static base::Millis
LifetimeOf(const ReplicaLimit& aLimit)
{
  return aLimit.mPerSecond ? kLimitLifetime : kWithdrawnLimitLifetime;
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

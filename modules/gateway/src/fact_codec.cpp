#include "fact_codec.h"

#include "sycamore/wire/fleet_facts_generated.h"
#include "sycamore/wire/table_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// Ages above this are cut, so that differences of time points do not overflow. Longer than any fact
// is kept.
static constexpr uint64_t kMaxAgeMs = 86400000;

static wire::FactBodyUnion
ToWire(const ReplicaLimit& aLimit)
{
  wire::ReplicaLimitT table;
  table.replica = aLimit.mReplica;
  table.started_unix_ms = aLimit.mStartedUnixMs;
  table.limited = aLimit.mPerSecond.has_value();
  table.per_second = aLimit.mPerSecond.value_or(0);
  wire::FactBodyUnion body;
  body.Set(std::move(table));
  return body;
}

static wire::FactBodyUnion
ToWire(const ReplicaCrash& aCrash)
{
  wire::ReplicaCrashT table;
  table.request = aCrash.mRequest;
  table.replica = aCrash.mReplica;
  table.started_unix_ms = aCrash.mStartedUnixMs;
  table.may_have_begun = aCrash.mMayHaveBegun;
  wire::FactBodyUnion body;
  body.Set(std::move(table));
  return body;
}

static wire::FactBodyUnion
ToWire(const RequestCompleted& aCompleted)
{
  wire::RequestCompletedT table;
  table.request = aCompleted.mRequest;
  wire::FactBodyUnion body;
  body.Set(table);
  return body;
}

std::string
EncodeFact(const Fact& aFact, base::TimePoint aNow)
{
  const auto age = std::chrono::duration_cast<Millis>(aNow - aFact.mObservedAt);
  wire::FactT table;
  table.age_ms = static_cast<uint64_t>(std::max(age, Millis(0)).count());
  table.body = std::visit([](const auto& aWhat) { return ToWire(aWhat); }, aFact.mWhat);
  return wire::EncodeTable<wire::Fact>(table);
}

std::optional<Fact>
DecodeFact(std::string_view aBytes, base::TimePoint aNow)
{
  const auto table = wire::DecodeTable<wire::Fact>(aBytes);
  if (!table) {
    return std::nullopt;
  }
  const base::TimePoint observed =
    aNow - Millis(static_cast<int64_t>(std::min(table->age_ms, kMaxAgeMs)));
  if (const auto* limit = table->body.AsReplicaLimit()) {
    const bool valid = std::isfinite(limit->per_second) && limit->per_second >= 0;
    if (!valid || limit->replica.empty()) {
      return std::nullopt;
    }
    ReplicaLimit what{ limit->replica, limit->started_unix_ms, std::nullopt };
    if (limit->limited) {
      what.mPerSecond = limit->per_second;
    }
    return Fact{ std::move(what), observed };
  }
  if (const auto* crash = table->body.AsReplicaCrash()) {
    return Fact{ ReplicaCrash{
                   crash->request, crash->replica, crash->started_unix_ms, crash->may_have_begun },
                 observed };
  }
  if (const auto* completed = table->body.AsRequestCompleted()) {
    return Fact{ RequestCompleted{ completed->request }, observed };
  }
  return std::nullopt;
}

}

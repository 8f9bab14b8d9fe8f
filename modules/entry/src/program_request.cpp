#include "json_fields.h"
#include "program_service.h"

#include <limits>

namespace sycamore::entry {

// Largest budget: far above real budgets, and small enough that sums fit into 64 bits.
static constexpr uint64_t kMaxBudget = uint64_t{ 1 } << 48;

// Turn limit of a program whose request has none (docs/design.md, section 3.9).
static constexpr uint64_t kDefaultTurns = 450;

// Default limits: one day in total, and one hour without a call.
static constexpr uint64_t kDefaultTimeLimitMs = 24ULL * 3600 * 1000;
static constexpr uint64_t kDefaultIdleLimitMs = 3600ULL * 1000;

// Longest time limit: 30 days.
static constexpr uint64_t kMaxTimeMs = 30ULL * 24 * 3600 * 1000;

static base::Millis
ToMillis(uint64_t aMillis)
{
  return base::Millis{ static_cast<int64_t>(aMillis) };
}

base::Result<ProgramRequest>
ParseProgramRequest(std::string_view aBody)
{
  const base::Result<boost::json::object> parsed = ParseObject(aBody);
  if (!base::IsOk(parsed)) {
    return base::ErrorOf(parsed);
  }
  JsonFields fields(base::ValueOf(parsed));
  fields.RefuseUnknown({ "account",
                         "region",
                         "budget_tokens",
                         "max_turns",
                         "time_limit_ms",
                         "idle_limit_ms",
                         "parent" });
  ProgramRequest request;
  const std::string parent = fields.OptionalName("parent");
  if (parent.empty()) {
    request.mAccount = fields.Name("account");
    request.mRegion = fields.Name("region");
    request.mBudgetTokens = fields.Integer("budget_tokens", 1, kMaxBudget);
  } else {
    // A sub-agent draws on the budget of its root; account and region default to the parent's.
    request.mAccount = fields.OptionalName("account");
    request.mRegion = fields.OptionalName("region");
    fields.OptionalInteger("budget_tokens", 0, kMaxBudget);
    const base::Result<base::ProgramId> id = base::ParseProgramId(parent);
    if (base::IsOk(id)) {
      request.mParent = base::ValueOf(id);
    } else {
      fields.Refuse("parent", "is not a program id");
    }
  }
  constexpr uint64_t kMaxTurns = std::numeric_limits<uint32_t>::max() - 2;
  request.mMaxTurns = static_cast<uint32_t>(
    fields.OptionalInteger("max_turns", 1, kMaxTurns).value_or(kDefaultTurns));
  request.mTimeLimit =
    ToMillis(fields.OptionalInteger("time_limit_ms", 1, kMaxTimeMs).value_or(kDefaultTimeLimitMs));
  request.mIdleLimit =
    ToMillis(fields.OptionalInteger("idle_limit_ms", 1, kMaxTimeMs).value_or(kDefaultIdleLimitMs));
  if (fields.Failure()) {
    return *fields.Failure();
  }
  return request;
}

}

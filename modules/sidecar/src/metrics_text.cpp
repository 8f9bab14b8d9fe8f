#include "sycamore/sidecar/metrics_text.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sycamore::sidecar {

struct CounterRow
{
  const char* mName;
  const char* mHelp;
  uint64_t SidecarCounters::*mValue;
};

using C = SidecarCounters;

static constexpr CounterRow kTotals[] = {
  { "sycamore_sidecar_dispatches_total", "Dispatch frames received", &C::mDispatches },
  { "sycamore_sidecar_refused_total", "Dispatches refused as not run", &C::mRefused },
  { "sycamore_sidecar_duplicates_total", "Dispatches of known calls", &C::mDuplicates },
  { "sycamore_sidecar_started_total", "Calls given to a target", &C::mStarted },
  { "sycamore_sidecar_answered_total", "Calls answered by a target", &C::mAnswered },
  { "sycamore_sidecar_not_run_total", "Calls that ended without running", &C::mNotRun },
  { "sycamore_sidecar_unknown_total", "Calls without a usable answer", &C::mUnknown },
  { "sycamore_sidecar_seals_total", "Seals answered", &C::mSealed },
  { "sycamore_sidecar_prompt_tokens_total", "Prompt tokens of calls", &C::mPromptTokens },
  { "sycamore_sidecar_cached_tokens_total", "Prompt tokens found cached", &C::mCachedTokens },
  { "sycamore_sidecar_generated_tokens_total", "Tokens generated", &C::mGeneratedTokens },
  { "sycamore_sidecar_memory_releases_total", "Releases confirmed", &C::mMemoryReleases },
  { "sycamore_sidecar_holds_expired_total", "Leases that expired", &C::mHoldsExpired },
  { "sycamore_sidecar_programs_adopted_total", "Cached programs adopted", &C::mProgramsAdopted },
  { "sycamore_sidecar_orders_applied_total", "Orders confirmed", &C::mOrdersApplied },
  { "sycamore_sidecar_orders_refused_total", "Orders refused by an engine", &C::mOrdersRefused },
  { "sycamore_sidecar_slots_limited_total", "Weight store slots denied", &C::mSlotsLimited },
};

static constexpr CounterRow kSizes[] = {
  { "sycamore_sidecar_queued", "Calls waiting for a target", &C::mQueued },
  { "sycamore_sidecar_running", "Calls given to a target and not reported", &C::mRunning },
  { "sycamore_sidecar_unacked_outcomes", "Outcomes without an ack", &C::mUnackedOutcomes },
  { "sycamore_sidecar_tracked_programs", "Programs with engine memory", &C::mTrackedPrograms },
};

std::string
MetricsText(const SidecarCounters& aCounters)
{
  prometheus::Registry registry;
  for (const CounterRow& row : kTotals) {
    auto& family = prometheus::BuildCounter().Name(row.mName).Help(row.mHelp).Register(registry);
    family.Add({}).Increment(static_cast<double>(aCounters.*row.mValue));
  }
  for (const CounterRow& row : kSizes) {
    auto& family = prometheus::BuildGauge().Name(row.mName).Help(row.mHelp).Register(registry);
    family.Add({}).Set(static_cast<double>(aCounters.*row.mValue));
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}

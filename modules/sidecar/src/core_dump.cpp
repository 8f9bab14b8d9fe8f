#include "core_dump.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Millis;
using base::TimePoint;

static std::string_view
PhaseName(CallPhase aPhase)
{
  switch (aPhase) {
    case CallPhase::Queued:
      return "queued";
    case CallPhase::Running:
      return "running";
    case CallPhase::Cancelling:
      return "cancelling";
    case CallPhase::Finished:
      break;
  }
  return "finished";
}

static json::object
DumpCall(const ActiveCall& aCall, const CoreState& aState, TimePoint aNow)
{
  const auto age = std::chrono::duration_cast<Millis>(aNow - aCall.mQueuedAt);
  return json::object{
    { "program", base::ToString(aCall.mKey.mProgram) },
    { "seq", aCall.mDispatch->call->seq },
    { "key", aCall.mKey.mKey },
    { "attempt", aCall.mDispatch->attempt },
    { "epoch", aCall.mDispatch->epoch },
    { "target", aState.mTargets.at(aCall.mTarget).mSettings.mTarget.mName },
    { "phase", PhaseName(aCall.mLife.Phase()) },
    { "age_ms", age.count() },
    { "superseded", aCall.mSuperseded },
  };
}

static json::object
DumpTarget(const CoreState& aState, const CallRunner& aCalls, size_t aIndex, TimePoint aNow)
{
  const TargetState& target = aState.mTargets.at(aIndex);
  return json::object{
    { "name", target.mSettings.mTarget.mName },
    { "service", target.mSettings.mTarget.mService },
    { "up", target.mHealth.Up(target.IsEngine(), aNow) },
    { "running", target.mRunning },
    { "queued", aCalls.Queued(aIndex) },
    { "max_running", target.mSettings.mMaxRunning },
    { "cache_used_tokens", target.mReported.cache_used_tokens },
    { "fence", target.mFence },
  };
}

std::string
DumpCore(const CoreState& aState,
         const CallRunner& aCalls,
         const ConfigAge& aConfig,
         TimePoint aNow)
{
  json::array targets;
  for (size_t i = 0; i < aState.mTargets.size(); ++i) {
    targets.push_back(DumpTarget(aState, aCalls, i, aNow));
  }
  json::array calls;
  for (const auto& [number, call] : aCalls.Calls()) {
    calls.push_back(DumpCall(call, aState, aNow));
  }
  return json::serialize(json::object{
    { "role", "sidecar" },
    { "instance", aState.mSettings.mInstance },
    { "incarnation", fmt::format("{:016x}", aState.mIncarnation) },
    { "config_version", aConfig.Version() },
    { "config_age_ms", aConfig.Age(aNow).count() },
    { "entries", aState.mPeers.EntryLinks().size() },
    { "targets", targets },
    { "calls", calls },
    { "records", aCalls.Book().Records() },
    { "unacked_outcomes", aCalls.Book().UnackedOutcomes() },
    { "outcome_bytes", aCalls.Book().OutcomeBytes() },
  });
}

}

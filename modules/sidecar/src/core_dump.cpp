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
    { "phase", PhaseName(aCall.mStateMachine.Phase()) },
    { "age_ms", age.count() },
    { "superseded", aCall.mSuperseded },
  };
}

static json::object
DumpOrder(const OrderReconciler& aReconciler)
{
  json::object order{ { "highest_version", aReconciler.HighestVersion() },
                      { "in_effect", aReconciler.InEffect() } };
  if (aReconciler.Desired()) {
    order["model"] = aReconciler.Desired()->mModel;
    order["wanted_version"] = aReconciler.Desired()->mVersion;
  }
  return order;
}

static json::object
DumpTarget(const CoreParts& aParts, size_t aIndex, TimePoint aNow)
{
  const TargetState& target = aParts.mState.mTargets.at(aIndex);
  return json::object{
    { "name", target.mSettings.mTarget.mName },
    { "service", target.mSettings.mTarget.mService },
    { "up", target.mHealth.Up(target.IsEngine(), aNow) },
    { "running", target.mRunning },
    { "queued", aParts.mCalls.Queued(aIndex) },
    { "max_running", target.mSettings.mMaxRunning },
    { "cache_used_tokens", target.mReported.cache_used_tokens },
    { "order", DumpOrder(aParts.mOrders.Reconciler(aIndex)) },
  };
}

std::string
DumpCore(const CoreParts& aParts, TimePoint aNow)
{
  const CoreState& state = aParts.mState;
  const CallRegistry& registry = aParts.mCalls.Registry();
  json::array targets;
  for (size_t i = 0; i < state.mTargets.size(); ++i) {
    targets.push_back(DumpTarget(aParts, i, aNow));
  }
  json::array calls;
  for (const auto& [number, call] : aParts.mCalls.Calls()) {
    calls.push_back(DumpCall(call, state, aNow));
  }
  return json::serialize(json::object{
    { "role", "sidecar" },
    { "instance", state.mSettings.mInstance },
    { "incarnation", fmt::format("{:016x}", state.mIncarnation) },
    { "config_version", aParts.mConfig.Version() },
    { "config_age_ms", aParts.mConfig.Age(aNow).count() },
    { "entries", state.mPeers.EntryLinks().size() },
    { "targets", targets },
    { "calls", calls },
    { "records", registry.Records() },
    { "unacked_outcomes", registry.UnackedOutcomes() },
    { "outcome_bytes", registry.OutcomeBytes() },
    { "tracked_programs", aParts.mMemory.Tracker().Programs() },
  });
}

}

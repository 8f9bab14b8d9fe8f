#include "dump.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamore::entry {

namespace json = boost::json;

static std::string_view
PhaseName(PartitionPhase aPhase)
{
  switch (aPhase) {
    case PartitionPhase::Idle:
      return "idle";
    case PartitionPhase::Opening:
      return "opening";
    case PartitionPhase::Claiming:
      return "claiming";
    case PartitionPhase::Owned:
      return "owned";
    case PartitionPhase::Releasing:
      return "releasing";
  }
  return "";
}

static int64_t
AgeMs(const Context& aContext, base::TimePoint aTime)
{
  return std::chrono::duration_cast<base::Millis>(aContext.mNow - aTime).count();
}

static json::array
PartitionsJson(const PartitionMap& aPartitions)
{
  json::array partitions;
  for (uint32_t i = 0; i < aPartitions.Count(); ++i) {
    const Partition& partition = aPartitions.At(i);
    json::object row{ { "partition", i },
                      { "phase", PhaseName(partition.mPhase) },
                      { "epoch", partition.mEpoch },
                      { "owner", partition.mOwner },
                      { "owner_epoch", partition.mOwnerEpoch } };
    if (partition.mState != nullptr) {
      row["next_offset"] = partition.mState->mNextOffset;
      row["programs"] = partition.mState->mPrograms.size();
    }
    partitions.push_back(std::move(row));
  }
  return partitions;
}

static json::array
PeersJson(const Context& aContext, const Peers& aPeers)
{
  json::array peers;
  aPeers.ForEach([&](const Peer& aPeer) {
    json::array targets;
    for (const auto& [name, target] : aPeer.mTargets) {
      targets.push_back(json::object{ { "name", name },
                                      { "service", target.mInfo.service },
                                      { "up", target.mLoad.up },
                                      { "running", target.mLoad.running },
                                      { "queued", target.mLoad.queued },
                                      { "sent_since", target.mSent.size() } });
    }
    peers.push_back(json::object{ { "instance", aPeer.mInstance },
                                  { "role", wire::EnumNameRole(aPeer.mRole) },
                                  { "incarnation", aPeer.mIncarnation },
                                  { "region", aPeer.mRegion },
                                  { "leaving", aPeers.IsLeaving(aPeer) },
                                  { "heard_ms", AgeMs(aContext, aPeer.mHeard) },
                                  { "config_version", aPeer.mConfigVersion },
                                  { "targets", std::move(targets) } });
  });
  return peers;
}

// Most calls listed in a dump; calls_in_progress has the full count.
static constexpr size_t kMaxDumpedCalls = 200;

static json::array
CallsJson(const CallRegistry& aCalls)
{
  json::array calls;
  aCalls.ForEachConst([&](const Call& aCall) {
    if (calls.size() < kMaxDumpedCalls) {
      calls.push_back(json::object{ { "program", base::ToString(aCall.mProgram) },
                                    { "seq", aCall.mRequest.mSeq },
                                    { "key", aCall.mRequest.mKey },
                                    { "phase", PhaseName(aCall.mStateMachine.Phase()) },
                                    { "target", aCall.mAttempt.mRoute.mTarget },
                                    { "waiters", aCall.mWaiters.size() },
                                    { "events", aCall.mEvents.Size() } });
    }
  });
  return calls;
}

std::string
DumpText(const Context& aContext,
         const PartitionMap& aPartitions,
         const Peers& aPeers,
         const CallRegistry& aCalls,
         const Forwarder& aForwarder,
         const History& aHistory,
         const TableState& aTable,
         const ProgramRegistry& aPrograms)
{
  return json::serialize(json::object{
    { "role", "entry" },
    { "instance", aContext.mSettings.mInstance },
    { "incarnation", aContext.mIncarnation },
    { "uptime_ms", AgeMs(aContext, aContext.mStarted) },
    { "draining", aContext.mDraining },
    { "config",
      json::object{ { "version", aTable.Version() }, { "age_ms", aTable.Age().count() } } },
    { "partitions", PartitionsJson(aPartitions) },
    { "peers", PeersJson(aContext, aPeers) },
    { "live_programs", aPrograms.Size() },
    { "calls_in_progress", aCalls.Size() },
    { "calls", CallsJson(aCalls) },
    { "forwards",
      json::object{ { "parked", aForwarder.ParkedCount() }, { "sent", aForwarder.SentCount() } } },
    { "history", json::object{ { "turns", aHistory.Turns() }, { "bytes", aHistory.Bytes() } } },
    { "pending_bytes", aContext.mEffects.PendingBytes() } });
}

}

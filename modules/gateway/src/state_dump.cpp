#include "state_dump.h"

#include "elapsed.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamore::gateway {

namespace json = boost::json;

Gauges
GaugesOf(const Context& aContext)
{
  Gauges gauges;
  gauges.mConfigurationVersion = aContext.mRoutes ? aContext.mRoutes->mVersion : 0;
  gauges.mConfigurationAge = Since(aContext.mRoutesConfirmedAt);
  gauges.mReplicaListAge = Since(aContext.mReplicasConfirmedAt);
  gauges.mReplicas = aContext.mReplicas.Size();
  gauges.mLimitedReplicas = aContext.mLimits.LimitedCount();
  gauges.mBarredRequests = aContext.mSuspects.BarredCount();
  gauges.mAccounts = aContext.mRoutes ? aContext.mRoutes->mAccounts.mAccounts.size() : 0;
  gauges.mCountedAccounts = aContext.mUsage.Size();
  gauges.mFacts = aContext.mFacts.Size();
  gauges.mPrograms = aContext.mPrograms.Programs().ProgramCount();
  gauges.mTurns = aContext.mPrograms.Programs().TurnCount();
  gauges.mTextBytes = aContext.mTexts.CachedBytes();
  gauges.mBodyBytes = aContext.mBodies.HeldBytes();
  gauges.mRequestBytes = aContext.mRequests.HeldBytes();
  gauges.mCallsOpen = aContext.mCallsOpen;
  gauges.mReady = aContext.Ready();
  return gauges;
}

static json::object
ReplicaJson(const Context& aContext, const ReplicaState& aState)
{
  json::object row{ { "replica", aState.mReplica.mId },
                    { "service", aState.mReplica.mService },
                    { "endpoint", ToString(aState.mReplica.mEndpoint) },
                    { "domain", aState.mReplica.mDomain },
                    { "slots", aState.mReplica.mSlots },
                    { "leaving", aState.mReplica.mLeaving },
                    { "in_flight", aState.mInFlight },
                    { "idle_connections", aState.mIdle.size() },
                    { "recent_failures", aState.mRecentFailures } };
  if (aState.mLoad) {
    row["running"] = aState.mLoad->mRunning;
    row["waiting"] = aState.mLoad->mWaiting;
    row["load_age_ms"] = Since(aState.mLoadAt).count();
  }
  if (const auto limit = aContext.mLimits.LimitOf(aState.mReplica)) {
    const QuotaShare share = aContext.mLimits.ShareOf(aState.mReplica);
    row["request_limit_per_s"] = *limit;
    row["own_share_per_s"] = share.mPerSecond;
    row["share_holders"] = share.mHolders;
  }
  return row;
}

// The aggregator of each partition of the programs' stream, as this gateway uses them now.
static json::array
AggregatorsJson(const Context& aContext)
{
  json::array rows;
  for (uint32_t partition = 0; partition < aContext.mPrograms.PartitionCount(); ++partition) {
    const auto path = aContext.mStore.AggregatorOf({ StreamName::Programs, partition });
    json::object row{ { "partition", partition }, { "aggregator", nullptr } };
    if (path) {
      row["aggregator"] = path->mInstance;
      row["own"] = path->mLocal != nullptr;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string
DumpState(const Context& aContext)
{
  const Gauges gauges = GaugesOf(aContext);
  json::array replicas;
  for (const auto& [id, state] : aContext.mPool.States()) {
    replicas.push_back(ReplicaJson(aContext, *state));
  }
  const json::object dump{
    { "ready", gauges.mReady },
    { "stopping", aContext.mStopping },
    { "configuration",
      { { "version", gauges.mConfigurationVersion },
        { "age_ms", gauges.mConfigurationAge.count() } } },
    { "replica_list",
      { { "replicas", gauges.mReplicas }, { "age_ms", gauges.mReplicaListAge.count() } } },
    { "replicas", std::move(replicas) },
    { "programs",
      { { "loaded", aContext.mPrograms.Loaded() },
        { "applied_records", aContext.mPrograms.AppliedRecords() },
        { "programs", gauges.mPrograms },
        { "turns", gauges.mTurns },
        { "text_bytes", gauges.mTextBytes } } },
    { "store",
      { { "reachable", aContext.mStore.Reachable() },
        { "down_for_all", aContext.mStore.DownForAll() },
        { "since_success_ms", aContext.mStore.SinceSuccess().count() },
        { "aggregators", AggregatorsJson(aContext) } } },
    { "accounts", { { "configured", gauges.mAccounts }, { "counted", gauges.mCountedAccounts } } },
    { "facts", gauges.mFacts },
    { "barred_requests", gauges.mBarredRequests },
    { "calls_open", gauges.mCallsOpen },
  };
  return json::serialize(dump);
}

}

#include "metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace sycamore::gateway {

using base::Millis;

// Bounds of the latency histograms in seconds. 0.31 is the target for a first event, 0.035 the one
// between events; the others range from a call within a region to the longest deadline.
static const prometheus::Histogram::BucketBoundaries kLatencyBounds{
  0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.31, 0.4, 0.6, 1, 2, 4, 10
};

static constexpr size_t kMaxAccountCounters = 200;

static std::string
FullName(const char* aName)
{
  return std::string("sycamore_gateway_") + aName;
}

static std::string_view
EndName(CallEnd aEnd)
{
  static constexpr std::array<std::string_view, kCallEndCount> kNames{
    "answered", "refused", "broken_off", "caller_gone"
  };
  return kNames.at(static_cast<size_t>(aEnd));
}

static std::string_view
OperationName(StoreOperation aOperation)
{
  static constexpr std::array<std::string_view, 4> kNames{ "append", "put", "read", "newest" };
  return kNames.at(static_cast<size_t>(aOperation));
}

class Metrics::Impl
{
public:
  using Counters = prometheus::Family<prometheus::Counter>;

  Counters& CounterFamily(const char* aName, const char* aHelp)
  {
    return prometheus::BuildCounter().Name(FullName(aName)).Help(aHelp).Register(mRegistry);
  }

  prometheus::Histogram& Histogram(const char* aName, const char* aHelp)
  {
    return prometheus::BuildHistogram()
      .Name(FullName(aName))
      .Help(aHelp)
      .Register(mRegistry)
      .Add({}, kLatencyBounds);
  }

  prometheus::Gauge& Gauge(const char* aName, const char* aHelp)
  {
    return prometheus::BuildGauge().Name(FullName(aName)).Help(aHelp).Register(mRegistry).Add({});
  }

  prometheus::Registry mRegistry;
  Counters& mCalls{ CounterFamily("calls_total", "Calls by how they ended") };
  Counters& mRefusals{ CounterFamily("refusals_total", "Calls refused, by code of the error") };
  Counters& mAccountRefusals{ CounterFamily("account_refusals_total",
                                            "Requests refused, by account and reason") };
  std::set<std::string, std::less<>> mAccountNames; // With a counter of their own.
  Counters& mTries{ CounterFamily("replica_tries_total", "Sends to replicas by result") };
  Counters& mStoreCalls{ CounterFamily("store_calls_total", "Direct calls to the store") };
  Counters& mStoreBytes{ CounterFamily("store_bytes_total",
                                       "Bytes of records sent to and read from the store") };
  prometheus::Histogram& mCall{ Histogram("call_seconds", "Whole calls, refused ones included") };
  prometheus::Histogram& mFirstEvent{ Histogram("first_event_seconds",
                                                "Arrival of a turn to its first event") };
  prometheus::Histogram& mCommit{ Histogram("commit_seconds",
                                            "Append of a completed turn to its acknowledgement") };
  prometheus::Histogram& mReservation{ Histogram("reservation_seconds",
                                                 "Append of a reservation to its decision") };
  prometheus::Histogram& mStoreCall{ Histogram("store_write_seconds", "Writing calls") };
  prometheus::Gauge& mVersion{ Gauge("configuration_version", "Version in force; 0: none") };
  prometheus::Gauge& mVersionAge{ Gauge("configuration_age_seconds",
                                        "Since the configuration was last confirmed") };
  prometheus::Gauge& mListAge{ Gauge("replica_list_age_seconds",
                                     "Since the replica list was last confirmed") };
  prometheus::Gauge& mReplicas{ Gauge("replicas", "Replicas listed") };
  prometheus::Gauge& mLimitedReplicas{ Gauge("limited_replicas",
                                             "Replicas that name a request limit") };
  prometheus::Gauge& mBarredRequests{ Gauge("barred_requests",
                                            "Requests that have crashed replicas") };
  prometheus::Gauge& mAccounts{ Gauge("accounts", "Accounts in the configuration") };
  prometheus::Gauge& mCountedAccounts{ Gauge("accounts_counted",
                                             "Accounts with requests in the window of quotas") };
  prometheus::Gauge& mFacts{ Gauge("facts", "Facts known, those of other gateways included") };
  prometheus::Gauge& mPrograms{ Gauge("programs", "Programs known") };
  prometheus::Gauge& mTurns{ Gauge("turns", "Turns that can be continued") };
  prometheus::Gauge& mTextBytes{ Gauge("text_bytes", "Texts of turns in memory") };
  prometheus::Gauge& mBodyBytes{ Gauge("body_bytes", "Bodies of calls under way") };
  prometheus::Gauge& mRequestBytes{ Gauge("request_bytes",
                                          "Heads, and calls under way besides their bodies") };
  prometheus::Gauge& mOpen{ Gauge("calls_open", "Calls under way") };
  prometheus::Gauge& mCallerConnections{ Gauge("connections", "Connections of callers") };
  prometheus::Gauge& mPeerConnections{ Gauge("peer_connections", "Connections of other gateways") };
  prometheus::Gauge& mYielded{ Gauge("connections_yielded",
                                     "Connections closed or refused because of limits so far") };
  prometheus::Gauge& mReady{ Gauge("ready", "1 if new connections are wanted") };
};

static std::string_view
StreamText(StreamName aStream)
{
  static constexpr std::array<std::string_view, kStreamCount> kNames{
    "configuration", "replicas", "programs", "members", "texts"
  };
  return kNames.at(static_cast<size_t>(aStream));
}

static double
ToSeconds(Millis aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::NoteCall(const CallOutcome& aOutcome, Millis aTook)
{
  mImpl->mCalls.Add({ { "end", std::string(EndName(aOutcome.mEnd)) } }).Increment();
  if (aOutcome.mError) {
    const std::string code(base::AnswerFor(*aOutcome.mError).mCode);
    mImpl->mRefusals.Add({ { "code", code } }).Increment();
  }
  mImpl->mCall.Observe(ToSeconds(aTook));
}

void
Metrics::NoteFirstEvent(Millis aTook)
{
  mImpl->mFirstEvent.Observe(ToSeconds(aTook));
}

void
Metrics::NoteCommit(Millis aTook)
{
  mImpl->mCommit.Observe(ToSeconds(aTook));
}

void
Metrics::NoteReservation(Millis aTook)
{
  mImpl->mReservation.Observe(ToSeconds(aTook));
}

void
Metrics::NoteAccountRefusal(std::string_view aAccount, std::string_view aReason)
{
  auto& names = mImpl->mAccountNames;
  std::string name(aAccount);
  if (!names.contains(name)) {
    if (names.size() < kMaxAccountCounters) {
      names.insert(name);
    } else {
      name = "others";
    }
  }
  mImpl->mAccountRefusals.Add({ { "account", name }, { "reason", std::string(aReason) } })
    .Increment();
}

void
Metrics::NoteReplicaTry(std::string_view aResult)
{
  mImpl->mTries.Add({ { "result", std::string(aResult) } }).Increment();
}

void
Metrics::NoteStoreCall(const StoreCall& aCall)
{
  mImpl->mStoreCalls
    .Add({ { "operation", std::string(OperationName(aCall.mOperation)) },
           { "stream", std::string(StreamText(aCall.mStream)) },
           { "result", aCall.mSucceeded ? "ok" : "failed" } })
    .Increment();
  mImpl->mStoreBytes.Add({ { "direction", "sent" } })
    .Increment(static_cast<double>(aCall.mBytesSent));
  mImpl->mStoreBytes.Add({ { "direction", "read" } })
    .Increment(static_cast<double>(aCall.mBytesRead));
  const bool isWrite =
    aCall.mOperation == StoreOperation::Append || aCall.mOperation == StoreOperation::Put;
  if (isWrite) {
    mImpl->mStoreCall.Observe(ToSeconds(aCall.mTook));
  }
}

std::string
Metrics::Text(const Gauges& aGauges)
{
  mImpl->mVersion.Set(static_cast<double>(aGauges.mConfigurationVersion));
  mImpl->mVersionAge.Set(ToSeconds(aGauges.mConfigurationAge));
  mImpl->mListAge.Set(ToSeconds(aGauges.mReplicaListAge));
  mImpl->mReplicas.Set(static_cast<double>(aGauges.mReplicas));
  mImpl->mLimitedReplicas.Set(static_cast<double>(aGauges.mLimitedReplicas));
  mImpl->mBarredRequests.Set(static_cast<double>(aGauges.mBarredRequests));
  mImpl->mAccounts.Set(static_cast<double>(aGauges.mAccounts));
  mImpl->mCountedAccounts.Set(static_cast<double>(aGauges.mCountedAccounts));
  mImpl->mFacts.Set(static_cast<double>(aGauges.mFacts));
  mImpl->mPrograms.Set(static_cast<double>(aGauges.mPrograms));
  mImpl->mTurns.Set(static_cast<double>(aGauges.mTurns));
  mImpl->mTextBytes.Set(static_cast<double>(aGauges.mTextBytes));
  mImpl->mBodyBytes.Set(static_cast<double>(aGauges.mBodyBytes));
  mImpl->mRequestBytes.Set(static_cast<double>(aGauges.mRequestBytes));
  mImpl->mOpen.Set(static_cast<double>(aGauges.mCallsOpen));
  mImpl->mCallerConnections.Set(static_cast<double>(aGauges.mCallerConnections));
  mImpl->mPeerConnections.Set(static_cast<double>(aGauges.mPeerConnections));
  mImpl->mYielded.Set(static_cast<double>(aGauges.mYieldedConnections));
  mImpl->mReady.Set(aGauges.mReady ? 1 : 0);
  return prometheus::TextSerializer().Serialize(mImpl->mRegistry.Collect());
}

}

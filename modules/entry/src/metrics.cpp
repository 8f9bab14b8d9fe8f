#include "metrics.h"

#include "stats.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace sycamore::entry {

namespace {

struct CounterInfo
{
  const char* mName;
  const char* mHelp;
  uint64_t Stats::*mField;
};

}

static const std::vector<CounterInfo>&
CounterInfos()
{
  static const std::vector<CounterInfo> sInfos{
    { "requests_total", "Requests received, forwarded ones included", &Stats::mRequests },
    { "errors_total", "Answers with an error body", &Stats::mErrors },
    { "programs_created_total", "Programs created", &Stats::mProgramsCreated },
    { "programs_ended_total", "Programs ended", &Stats::mProgramsEnded },
    { "calls_started_total", "Calls accepted", &Stats::mCallsStarted },
    { "calls_committed_total", "Calls committed with an answer", &Stats::mCallsCommitted },
    { "calls_refused_total", "Calls refused by admission", &Stats::mCallsRefused },
    { "retries_total", "Calls dispatched again", &Stats::mRetries },
    { "lookups_total", "Calls looked up after a lost connection", &Stats::mLookups },
    { "seals_total", "Seals sent after a takeover", &Stats::mSeals },
    { "unknown_outcomes_total", "Outcomes recorded as unknown", &Stats::mUnknownOutcomes },
    { "forwards_total", "Requests sent to other entries", &Stats::mForwards },
    { "claims_total", "Claims of partitions appended", &Stats::mClaims },
    { "partitions_lost_total", "Partitions lost to other entries", &Stats::mPartitionsLost },
    { "prompt_tokens_total", "Prompt tokens of committed calls", &Stats::mPromptTokens },
    { "cached_tokens_total", "Prompt tokens found in engine caches", &Stats::mCachedTokens },
    { "generated_tokens_total", "Tokens generated", &Stats::mGeneratedTokens },
    { "cross_region_bytes_total", "Call bytes sent to other regions", &Stats::mCrossRegionBytes },
  };
  return sInfos;
}

class Metrics::Impl
{
public:
  Impl()
  {
    for (const CounterInfo& info : CounterInfos()) {
      mCounters.push_back(&prometheus::BuildCounter()
                             .Name(std::string("sycamore_entry_") + info.mName)
                             .Help(info.mHelp)
                             .Register(mRegistry)
                             .Add({}));
    }
  }

  prometheus::Gauge& Gauge(const char* aName, const char* aHelp)
  {
    return prometheus::BuildGauge()
      .Name(std::string("sycamore_entry_") + aName)
      .Help(aHelp)
      .Register(mRegistry)
      .Add({});
  }

  prometheus::Registry mRegistry;
  std::vector<prometheus::Counter*> mCounters;
  prometheus::Gauge& mOwnedPartitions{ Gauge("owned_partitions", "Partitions owned") };
  prometheus::Gauge& mPrograms{ Gauge("programs", "Live programs owned") };
  prometheus::Gauge& mCalls{ Gauge("calls", "Calls in progress") };
  prometheus::Gauge& mOpenRequests{ Gauge("open_requests", "Requests not yet answered") };
  prometheus::Gauge& mHistoryBytes{ Gauge("history_bytes", "Bytes of the history cache") };
  prometheus::Gauge& mPendingBytes{ Gauge("pending_bytes", "Bytes that wait for the log") };
  prometheus::Gauge& mConfigAge{ Gauge("config_age_seconds", "Age of the configuration table") };
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

std::string
Metrics::Text(const Stats& aStats, const Gauges& aGauges)
{
  const std::vector<CounterInfo>& infos = CounterInfos();
  for (size_t i = 0; i < infos.size(); ++i) {
    prometheus::Counter& counter = *mImpl->mCounters[i];
    counter.Increment(static_cast<double>(aStats.*infos[i].mField) - counter.Value());
  }
  mImpl->mOwnedPartitions.Set(static_cast<double>(aGauges.mOwnedPartitions));
  mImpl->mPrograms.Set(static_cast<double>(aGauges.mPrograms));
  mImpl->mCalls.Set(static_cast<double>(aGauges.mCalls));
  mImpl->mOpenRequests.Set(static_cast<double>(aGauges.mOpenRequests));
  mImpl->mHistoryBytes.Set(static_cast<double>(aGauges.mHistoryBytes));
  mImpl->mPendingBytes.Set(static_cast<double>(aGauges.mPendingBytes));
  mImpl->mConfigAge.Set(aGauges.mConfigAgeSeconds);
  return prometheus::TextSerializer().Serialize(mImpl->mRegistry.Collect());
}

}

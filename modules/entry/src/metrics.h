#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sycamore::entry {

struct Stats;

// Current values for the gauges.
struct Gauges
{
  uint64_t mOwnedPartitions = 0;
  uint64_t mPrograms = 0;
  uint64_t mCalls = 0;
  uint64_t mOpenRequests = 0;
  uint64_t mHistoryBytes = 0;
  uint64_t mPendingBytes = 0;
  double mConfigAgeSeconds = 0;
};

// Renders the entry's metrics in the Prometheus text format.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  std::string Text(const Stats& aStats, const Gauges& aGauges);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#include "sycamore/capacity/store_load.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <deque>
#include <random>
#include <vector>

namespace sycamore::capacity {

using base::Millis;

namespace {

// All times are milliseconds since the start of the simulation.
using Time = double;

// Collects records and appends them to one partition.
struct Writer
{
  uint32_t mPartition = 0;
  Time mRoundTrip = 0;
  std::vector<Time> mQueued;    // When each record was handed in.
  Time mSendAt = -1;            // End of the time in which records are collected; -1 if none are.
  std::vector<Time> mAnswersAt; // Of the appends under way.
};

// Reads one partition.
struct Reader
{
  uint32_t mPartition = 0;
  Time mRoundTrip = 0;
  size_t mRead = 0; // Records of the partition that it has.
  Time mNextAt = 0; // Start of the next read.
};

struct Partition
{
  std::vector<Time> mAppendedAt; // Of each record.
  Time mBusyUntil = 0;
};

// How the gateways of a collection batch their calls.
struct Batching
{
  Time mDelay = 0;
  size_t mInFlight = 1;
  Time mReadInterval = 0;
};

struct Simulation
{
  std::vector<Writer> mWriters;
  std::vector<Reader> mReaders;
  std::vector<Partition> mPartitions;
  Batching mBatching;
  Time mReadsBusyUntil = 0; // All reads share one bandwidth.
  double mReadBytes = 0;
  uint64_t mCalls = 0;
  std::vector<Time> mCommits;
  std::vector<Time> mLags;
};

}

// Without aggregators a gateway had one append under way and read less often the more partitions
// there were.
static constexpr Time kGatewayBatchMs = 25;
static constexpr size_t kGatewayInFlight = 1;
static constexpr Time kGatewayReadIntervalMs = 40; // Times the number of partitions.
// As in the gateway module's Aggregator and ProgramLog.
static constexpr Time kAggregatorBatchMs = 20;
static constexpr size_t kAggregatorInFlight = 2;
static constexpr Time kAggregatorReadIntervalMs = 30;

static Batching
BatchingOf(const FleetModel& aFleet, const StoreModel& aStore)
{
  if (aFleet.mCollection == Collection::EachGateway) {
    return { kGatewayBatchMs, kGatewayInFlight, kGatewayReadIntervalMs * aStore.mPartitions };
  }
  return { kAggregatorBatchMs, kAggregatorInFlight, kAggregatorReadIntervalMs };
}

// One writer and one reader for each caller of the store and partition; that of caller c and
// partition p has the index c * partitions + p.
static Simulation
MakeSimulation(const FleetModel& aFleet, const StoreModel& aStore)
{
  Simulation simulation;
  simulation.mBatching = BatchingOf(aFleet, aStore);
  simulation.mPartitions.resize(aStore.mPartitions);
  const bool alone = aFleet.mCollection == Collection::EachGateway;
  const uint32_t callers = alone ? aFleet.mGateways : aFleet.mDomains;
  for (uint32_t caller = 0; caller < callers; ++caller) {
    const uint32_t region = caller % aFleet.mDomains % aFleet.mRegions;
    const auto roundTrip =
      static_cast<Time>((region == 0 ? aStore.mNearRoundTrip : aStore.mFarRoundTrip).count());
    for (uint32_t partition = 0; partition < aStore.mPartitions; ++partition) {
      Writer writer;
      writer.mPartition = partition;
      writer.mRoundTrip = roundTrip;
      simulation.mWriters.push_back(std::move(writer));
      Reader reader;
      reader.mPartition = partition;
      reader.mRoundTrip = roundTrip;
      simulation.mReaders.push_back(reader);
    }
  }
  return simulation;
}

static void
StepWriter(Writer& aWriter, Time aNow, const StoreModel& aStore, Simulation& aSimulation)
{
  std::erase_if(aWriter.mAnswersAt, [aNow](Time aAnswer) { return aAnswer <= aNow; });
  if (aWriter.mQueued.empty() || aWriter.mAnswersAt.size() >= aSimulation.mBatching.mInFlight) {
    return;
  }
  if (aWriter.mSendAt < 0) {
    aWriter.mSendAt = aNow + aSimulation.mBatching.mDelay;
  }
  if (aNow < aWriter.mSendAt) {
    return;
  }
  Partition& partition = aSimulation.mPartitions[aWriter.mPartition];
  partition.mBusyUntil =
    std::max(partition.mBusyUntil, aNow + aWriter.mRoundTrip / 2) + aStore.mAppendTime.count();
  const Time answer = partition.mBusyUntil + aWriter.mRoundTrip / 2;
  for (const Time queued : aWriter.mQueued) {
    aSimulation.mCommits.push_back(answer - queued);
    partition.mAppendedAt.push_back(partition.mBusyUntil);
  }
  aWriter.mQueued.clear();
  aWriter.mSendAt = -1;
  aWriter.mAnswersAt.push_back(answer);
  ++aSimulation.mCalls;
}

static void
StepReader(Reader& aReader, Time aNow, const StoreModel& aStore, Simulation& aSimulation)
{
  if (aNow < aReader.mNextAt) {
    return;
  }
  const std::vector<Time>& appended = aSimulation.mPartitions[aReader.mPartition].mAppendedAt;
  const Time asked = aNow + aReader.mRoundTrip / 2;
  size_t end = aReader.mRead;
  while (end < appended.size() && appended[end] <= asked) {
    ++end;
  }
  if (end == aReader.mRead) {
    return; // A read that waits for a record; it is counted when it is answered.
  }
  const double bytes = static_cast<double>(end - aReader.mRead) * aStore.mRecordBytes;
  aSimulation.mReadsBusyUntil =
    std::max(aSimulation.mReadsBusyUntil, asked) + bytes / aStore.mReadBytesPerSecond * 1000;
  const Time answer = aSimulation.mReadsBusyUntil + aReader.mRoundTrip / 2;
  aSimulation.mLags.push_back(answer - appended[aReader.mRead]);
  aSimulation.mReadBytes += bytes;
  aReader.mRead = end;
  aReader.mNextAt = answer + aSimulation.mBatching.mReadInterval;
  ++aSimulation.mCalls;
}

static Millis
Quantile(std::vector<Time>& aTimes, double aShare)
{
  if (aTimes.empty()) {
    return Millis(0);
  }
  const auto position =
    aTimes.begin() + static_cast<ptrdiff_t>(aShare * static_cast<double>(aTimes.size() - 1));
  std::nth_element(aTimes.begin(), position, aTimes.end());
  return Millis(static_cast<int64_t>(*position));
}

StoreLoad
SimulateStoreLoad(const FleetModel& aFleet,
                  const StoreModel& aStore,
                  Millis aDuration,
                  uint64_t aSeed)
{
  assert(aFleet.mRegions > 0 && aFleet.mDomains >= aFleet.mRegions);
  assert(aFleet.mGateways >= aFleet.mDomains && aStore.mPartitions > 0);
  assert(aFleet.mRecordsPerTurn > 0);
  Simulation simulation = MakeSimulation(aFleet, aStore);
  const uint32_t callers = static_cast<uint32_t>(simulation.mWriters.size()) / aStore.mPartitions;
  std::mt19937_64 random(aSeed);
  const double recordsPerStep =
    aFleet.mTurnsPerSecond * aFleet.mRecordsPerTurn * aFleet.mGateways / 1000;
  std::poisson_distribution<int> arrivals(recordsPerStep);
  std::uniform_int_distribution<uint32_t> anyGateway(0, aFleet.mGateways - 1);
  std::uniform_int_distribution<uint32_t> anyPartition(0, aStore.mPartitions - 1);
  for (Time now = 0; now < static_cast<Time>(aDuration.count()); ++now) {
    for (int record = arrivals(random); record > 0; --record) {
      const uint32_t caller = anyGateway(random) % callers;
      simulation.mWriters[caller * aStore.mPartitions + anyPartition(random)].mQueued.push_back(
        now);
    }
    for (Writer& writer : simulation.mWriters) {
      StepWriter(writer, now, aStore, simulation);
    }
    for (Reader& reader : simulation.mReaders) {
      StepReader(reader, now, aStore, simulation);
    }
  }
  StoreLoad load;
  load.mTurns = static_cast<double>(simulation.mCommits.size()) / aFleet.mRecordsPerTurn;
  load.mCallsPerTurn = static_cast<double>(simulation.mCalls) / std::max(load.mTurns, 1.0);
  load.mCommitMedian = Quantile(simulation.mCommits, 0.5);
  load.mCommitP95 = Quantile(simulation.mCommits, 0.95);
  load.mReadLagP95 = Quantile(simulation.mLags, 0.95);
  const double capacity =
    aStore.mReadBytesPerSecond * static_cast<double>(aDuration.count()) / 1000;
  load.mReadShare = simulation.mReadBytes / capacity;
  return load;
}

}

#pragma once

#include "metrics.h"
#include "sycamore/gateway/log_store.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Forwards calls to another store and records their count, size and latency. Lives on one event
// loop.
class MeasuredStore : public LogStore
{
public:
  // aMetrics outlives the store.
  MeasuredStore(std::unique_ptr<LogStore> aStore, Metrics& aMetrics);

  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<Appended> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override;
  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;
  Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

private:
  // Runs aOperation and counts it as aCall with its time and result.
  template<typename T>
  Async<T> Measure(StoreCall aCall, Async<T> aOperation);

  std::unique_ptr<LogStore> mStore;
  Metrics& mMetrics;
};

}

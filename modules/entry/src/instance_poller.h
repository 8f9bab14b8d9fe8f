#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/entry/core_event.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace sycamore::entry {

// Reads the platform's instance list periodically on its own thread.
class InstancePoller
{
public:
  using Read = std::function<base::Result<std::vector<world::Instance>>()>;

  // aSink receives each reading on the poller's thread.
  InstancePoller(base::Millis aPeriod, Read aRead, std::function<void(InstancesRead)> aSink);
  ~InstancePoller();
  InstancePoller(const InstancePoller&) = delete;
  InstancePoller& operator=(const InstancePoller&) = delete;

  // Idempotent.
  void Stop();

private:
  void Run();

  base::Millis mPeriod;
  Read mRead;
  std::function<void(InstancesRead)> mSink;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  std::thread mThread;
};

}

#include "instance_poller.h"

#include <utility>

namespace sycamore::entry {

InstancePoller::InstancePoller(base::Millis aPeriod,
                               Read aRead,
                               std::function<void(InstancesRead)> aSink)
  : mPeriod(aPeriod)
  , mRead(std::move(aRead))
  , mSink(std::move(aSink))
  , mThread([this] { Run(); })
{
}

InstancePoller::~InstancePoller()
{
  Stop();
}

void
InstancePoller::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
InstancePoller::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    mSink(InstancesRead{ mRead() });
    lock.lock();
    mChanged.wait_for(lock, mPeriod, [this] { return mStopping; });
  }
}

}

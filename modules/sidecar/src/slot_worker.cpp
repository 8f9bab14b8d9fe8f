#include "slot_worker.h"

namespace sycamore::sidecar {

using base::Millis;
using base::Seconds;

// Timeout of one request to the weight store.
static constexpr Millis kRequestLimit{ 2000 };

SlotWorker::SlotWorker(const settings::Settings& aSettings, EventQueue& aQueue)
  : mSettings(aSettings)
  , mQueue(aQueue)
  , mRequests(aSettings.mTargets.size() + 1)
{
  if (aSettings.mWeightStore) {
    mStore = platform::MakeHttpWeightStoreClient(*aSettings.mWeightStore, kRequestLimit);
  }
  mThread = std::thread([this] { Run(); });
}

SlotWorker::~SlotWorker()
{
  Stop();
}

void
SlotWorker::Stop()
{
  mRequests.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
SlotWorker::Request(const SlotRequest& aRequest)
{
  if (!mRequests.TryPush(aRequest)) {
    mQueue.PushReport(SlotAnswer{ aRequest.mRequestId, false, Millis(0) });
  }
}

void
SlotWorker::Run()
{
  while (!mRequests.Closed()) {
    const auto request = mRequests.PopFor(Seconds(1));
    if (request) {
      mQueue.PushReport(AcquireSlot(*request));
    }
  }
}

SlotAnswer
SlotWorker::AcquireSlot(const SlotRequest& aRequest)
{
  SlotAnswer answer{ aRequest.mRequestId, false, Millis(0) };
  if (!mStore) {
    return answer;
  }
  const auto acquired = mStore->Acquire(aRequest.mModel, aRequest.mVersion, mSettings.mInstance);
  if (IsOk(acquired)) {
    answer.mGranted = ValueOf(acquired).mGranted;
    answer.mRetryAfter = ValueOf(acquired).mRetryAfter;
  }
  return answer;
}

}

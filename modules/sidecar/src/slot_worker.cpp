#include "slot_worker.h"

#include <boost/json.hpp>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Millis;
using base::Seconds;

// Limit of one request to the weight store.
static constexpr Millis kRequestLimit{ 2000 };

SlotWorker::SlotWorker(const settings::Settings& aSettings, EventQueue& aQueue)
  : mSettings(aSettings)
  , mQueue(aQueue)
  , mRequests(aSettings.mTargets.size() + 1)
{
  if (aSettings.mWeightStore) {
    mClient = std::make_unique<http::Client>(*aSettings.mWeightStore, kRequestLimit);
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
    mQueue.PushReport(SlotAnswer{ aRequest.mTicket, false, Millis(0) });
  }
}

void
SlotWorker::Run()
{
  while (!mRequests.Closed()) {
    const auto request = mRequests.PopFor(Seconds(1));
    if (request) {
      mQueue.PushReport(Ask(*request));
    }
  }
}

SlotAnswer
SlotWorker::Ask(const SlotRequest& aRequest)
{
  SlotAnswer answer{ aRequest.mTicket, false, Millis(0) };
  if (!mClient) {
    return answer;
  }
  http::ClientRequest request;
  request.mMethod = "POST";
  request.mTarget = "/slots";
  request.mBody = json::serialize(json::object{ { "model", aRequest.mModel },
                                                { "version", aRequest.mVersion },
                                                { "instance", mSettings.mInstance } });
  const auto response = mClient->Perform(request);
  if (IsOk(response)) {
    answer.mGranted = ValueOf(response).mStatus == 200;
    answer.mRetryAfter = ValueOf(response).mRetryAfter;
  }
  return answer;
}

}

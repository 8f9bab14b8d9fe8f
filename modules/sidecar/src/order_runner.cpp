#include "order_runner.h"

#include "sycamore/base/log.h"

#include <boost/json.hpp>
#include <optional>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::TimePoint;

static constexpr Millis kReadDeadline{ 2000 };

// Long, because an engine may answer only after it has loaded the weights.
static constexpr Millis kSendDeadline{ 60000 };

OrderRunner::OrderRunner(CoreState& aState)
  : mState(aState)
  , mReconcilers(aState.mTargets.size(), OrderReconciler(OrderRules{}))
  // The seed differs between sidecars, so that their retries are spread out.
  , mRandom(static_cast<std::minstd_rand::result_type>(aState.mIncarnation | 1))
{
}

const OrderReconciler&
OrderRunner::Reconciler(size_t aTarget) const
{
  return mReconcilers.at(aTarget);
}

void
OrderRunner::OnFenced(size_t aTarget)
{
  mReconcilers.at(aTarget).Invalidate();
}

double
OrderRunner::Random()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

void
OrderRunner::OnTable(const table::Table& aTable, TimePoint aNow)
{
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    const auto& target = mState.mTargets[i].mSettings.mTarget;
    const auto order = aTable.mOrders.find(target.mService);
    if (mState.mTargets[i].IsEngine() && order != aTable.mOrders.end()) {
      mReconcilers[i].SetDesired(order->second);
    }
  }
  OnTick(aNow);
}

void
OrderRunner::OnTick(TimePoint aNow)
{
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    if (mState.mTargets[i].IsEngine()) {
      RunNextAction(i, aNow);
    }
  }
}

void
OrderRunner::RunNextAction(size_t aTarget, TimePoint aNow)
{
  mState.mTargets[aTarget].mFence = mReconcilers[aTarget].HighestVersion();
  switch (mReconcilers[aTarget].Poll(aNow)) {
    case OrderAction::None:
      return;
    case OrderAction::Read:
      Read(aTarget, aNow);
      return;
    case OrderAction::RequestSlot:
      RequestSlot(aTarget, aNow);
      return;
    case OrderAction::Send:
      Send(aTarget, aNow);
      return;
  }
}

void
OrderRunner::Read(size_t aTarget, TimePoint aNow)
{
  TargetRequest request;
  request.mMethod = "GET";
  request.mPath = "/v1/orders";
  request.mDeadline = kReadDeadline;
  mState.Start({ RequestPurpose::OrderRead, aTarget, 0, {}, aNow }, std::move(request));
}

void
OrderRunner::RequestSlot(size_t aTarget, TimePoint aNow)
{
  const table::Order& order = *mReconcilers[aTarget].Desired();
  const uint64_t number = mState.mNextRequestId++;
  mState.mPendingRequests[number] = { RequestPurpose::Slot, aTarget, 0, {}, aNow };
  mState.mOutput.RequestSlot({ number, order.mModel, order.mModelVersion });
}

void
OrderRunner::Send(size_t aTarget, TimePoint aNow)
{
  const table::Order& order = *mReconcilers[aTarget].Desired();
  Log(LogEvent::OrderSent,
      "{}: model {} version {}",
      mState.mTargets[aTarget].mSettings.mTarget.mName,
      order.mModel,
      order.mVersion);
  TargetRequest request;
  request.mMethod = "POST";
  request.mPath = "/v1/orders";
  request.mDeadline = kSendDeadline;
  request.mBody = json::serialize(json::object{ { "version", order.mVersion },
                                                { "model", order.mModel },
                                                { "adapter", order.mAdapter },
                                                { "model_version", order.mModelVersion },
                                                { "role", order.mRole } });
  mState.Start({ RequestPurpose::OrderSend, aTarget, 0, {}, aNow }, std::move(request));
}

void
OrderRunner::OnSlot(const PendingRequest& aPending,
                    bool aGranted,
                    Millis aRetryAfter,
                    TimePoint aNow)
{
  if (!aGranted) {
    ++mState.mCounters.mSlotsLimited;
    Log(LogEvent::WeightStoreLimited,
        "{}: the weight store granted no slot",
        mState.mTargets[aPending.mTarget].mSettings.mTarget.mName);
  }
  mReconcilers[aPending.mTarget].SlotAnswered(aGranted, aRetryAfter, Random(), aNow);
  RunNextAction(aPending.mTarget, aNow);
}

void
OrderRunner::OnDone(const PendingRequest& aPending,
                    const http::ClientResponse& aResponse,
                    TimePoint aNow)
{
  if (aPending.mPurpose == RequestPurpose::OrderRead) {
    OnReadDone(aPending, aResponse, aNow);
  } else {
    OnSendDone(aPending, aResponse, aNow);
  }
}

static std::string
Text(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// Parses the answer to GET /v1/orders; returns nothing if it is malformed.
static std::optional<table::Order>
ParseState(const std::string& aBody)
{
  boost::system::error_code error;
  const json::value parsed = json::parse(aBody, error);
  const json::object* object = error ? nullptr : parsed.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  table::Order state;
  if (const json::value* version = object->if_contains("version")) {
    state.mVersion = version->to_number<uint64_t>(error);
  }
  state.mModel = Text(*object, "model");
  state.mAdapter = Text(*object, "adapter");
  state.mModelVersion = Text(*object, "model_version");
  state.mRole = Text(*object, "role");
  return state;
}

void
OrderRunner::OnReadDone(const PendingRequest& aPending,
                        const http::ClientResponse& aResponse,
                        TimePoint aNow)
{
  const auto state = ParseState(aResponse.mBody);
  if (aResponse.mStatus != 200 || !state) {
    OnFailed(aPending, aNow);
    return;
  }
  mReconcilers[aPending.mTarget].StateRead(*state, aNow);
  RunNextAction(aPending.mTarget, aNow);
}

void
OrderRunner::OnSendDone(const PendingRequest& aPending,
                        const http::ClientResponse& aResponse,
                        TimePoint aNow)
{
  OrderReconciler& reconciler = mReconcilers[aPending.mTarget];
  const std::string& name = mState.mTargets[aPending.mTarget].mSettings.mTarget.mName;
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    ++mState.mCounters.mOrdersApplied;
    Log(LogEvent::OrderApplied, "{}", name);
    reconciler.Applied(aNow);
    return;
  }
  ++mState.mCounters.mOrdersRefused;
  Log(LogEvent::OrderRefused, "{}: status {}", name, aResponse.mStatus);
  if (aResponse.mStatus == 409) {
    reconciler.Refused(Random(), aNow);
  } else {
    reconciler.SendFailed(Random(), aNow);
  }
}

void
OrderRunner::OnFailed(const PendingRequest& aPending, TimePoint aNow)
{
  if (aPending.mPurpose == RequestPurpose::OrderRead) {
    mReconcilers[aPending.mTarget].ReadFailed(Random(), aNow);
  } else {
    mReconcilers[aPending.mTarget].SendFailed(Random(), aNow);
  }
}

}

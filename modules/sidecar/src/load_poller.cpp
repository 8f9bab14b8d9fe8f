#include "load_poller.h"

#include <boost/json.hpp>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Millis;
using base::TimePoint;

// Half of the shortest heartbeat interval, so that each heartbeat carries a new result.
static constexpr Millis kPollPeriod{ 500 };
static constexpr Millis kPollDeadline{ 1000 };

LoadPoller::LoadPoller(CoreState& aState)
  : mState(aState)
  , mNextPoll(aState.mTargets.size())
{
}

void
LoadPoller::OnTick(TimePoint aNow)
{
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    TargetState& target = mState.mTargets[i];
    if (!target.IsEngine() || target.mPolling || mNextPoll[i] > aNow) {
      continue;
    }
    target.mPolling = true;
    mNextPoll[i] = aNow + kPollPeriod;
    TargetRequest request;
    request.mMethod = "GET";
    request.mPath = "/v1/load";
    request.mDeadline = kPollDeadline;
    mState.Start({ RequestPurpose::Load, i, 0, {}, aNow }, std::move(request));
  }
}

static uint64_t
Field(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  boost::system::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

void
LoadPoller::OnDone(const PendingRequest& aPending,
                   const http::ClientResponse& aResponse,
                   TimePoint aNow)
{
  TargetState& target = mState.mTargets.at(aPending.mTarget);
  boost::system::error_code error;
  const json::value parsed = json::parse(aResponse.mBody, error);
  if (aResponse.mStatus != 200 || error || !parsed.is_object()) {
    OnFailed(aPending, aNow);
    return;
  }
  target.mPolling = false;
  target.mHealth.PollSucceeded();
  const json::object& load = parsed.get_object();
  wire::TargetLoadT& reported = target.mReported;
  reported.running = static_cast<uint32_t>(Field(load, "running"));
  reported.queued = static_cast<uint32_t>(Field(load, "queued"));
  reported.queued_tokens = Field(load, "queued_tokens");
  reported.cache_used_tokens = Field(load, "cache_used_tokens");
  reported.cache_capacity_tokens = Field(load, "cache_capacity_tokens");
  reported.age_ms = Field(load, "age_ms");
  target.mReportedAt = aNow;
}

void
LoadPoller::OnFailed(const PendingRequest& aPending, TimePoint aNow)
{
  TargetState& target = mState.mTargets.at(aPending.mTarget);
  target.mPolling = false;
  target.mHealth.PollFailed(aNow);
}

}

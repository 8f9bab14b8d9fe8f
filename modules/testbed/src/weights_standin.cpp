#include "sycamore/testbed/weights_standin.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/reply.h"

#include <string_view>
#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kOk = 200;
static constexpr int kBadRequest = 400;
static constexpr int kNotFound = 404;
static constexpr int kTooManyRequests = 429;

WeightsStandin::WeightsStandin(double aSlotsPerSecond, double aBurst)
  : mSlotsPerSecond(aSlotsPerSecond)
  , mBurst(aBurst)
  , mLimit(aSlotsPerSecond, aBurst)
{
}

void
WeightsStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  if (aRequest.mPath != "/slots" || aRequest.mMethod != "POST") {
    Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
    return;
  }
  const auto body = ParseObject(aRequest.mBody);
  const std::string instance =
    base::IsOk(body) ? TextField(base::ValueOf(body), "instance") : std::string();
  if (instance.empty()) {
    Send(ErrorReply(aRequest.mId, kBadRequest, "invalid_body", "instance is missing"));
    return;
  }
  if (mLimit.TryTake(aNow)) {
    ++mGranted[instance];
    Send(JsonReply(aRequest.mId, kOk, json::object{ { "granted", true } }));
    return;
  }
  ++mRefused[instance];
  auto reply = ErrorReply(aRequest.mId, kTooManyRequests, "rate_limited", "no slot is free");
  reply.mRetryAfter = mLimit.Wait(aNow);
  Send(std::move(reply));
}

base::Result<base::Unit>
WeightsStandin::OnControl(const json::object& aControl, base::TimePoint /*aNow*/)
{
  for (const auto& field : aControl) {
    const std::string_view key = field.key();
    if (key != "slots_per_second" && key != "burst") {
      return base::Error{ base::ErrorKind::InvalidField, "unknown control key", std::string(key) };
    }
  }
  mSlotsPerSecond = DoubleField(aControl, "slots_per_second", mSlotsPerSecond);
  mBurst = DoubleField(aControl, "burst", mBurst);
  mLimit.SetRate(mSlotsPerSecond, mBurst);
  return base::Unit{};
}

static json::object
CountsObject(const std::map<std::string, uint64_t>& aCounts)
{
  json::object object;
  for (const auto& [name, count] : aCounts) {
    object[name] = count;
  }
  return object;
}

json::object
WeightsStandin::Stats(base::TimePoint /*aNow*/) const
{
  return json::object{ { "granted", CountsObject(mGranted) },
                       { "refused", CountsObject(mRefused) } };
}

void
WeightsStandin::ResetStats(base::TimePoint /*aNow*/)
{
  mGranted.clear();
  mRefused.clear();
}

}

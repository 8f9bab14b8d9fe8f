#include "sycamore/testbed/standin_port.h"

#include "sycamore/base/log.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/reply.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kOk = 200;
static constexpr int kInvalid = 422;

StandinPort::StandinPort(std::unique_ptr<Standin> aStandin,
                         base::Millis aLatency,
                         std::function<void(http::ResponsePart)> aSend)
  : mStandin(std::move(aStandin))
  , mLatency(aLatency)
  , mSend(std::move(aSend))
{
  mStandin->SetSend([this](http::ResponsePart aPart) { Answer(std::move(aPart)); });
}

void
StandinPort::OnRequest(http::Request aRequest, base::TimePoint aNow)
{
  if (aRequest.mPath == "/control") {
    Control(aRequest, aNow);
    return;
  }
  if (aRequest.mPath == "/stats") {
    StatsReply(aRequest.mId, aNow);
    return;
  }
  if (aRequest.mPath == "/healthz") {
    mSend(JsonReply(aRequest.mId, kOk, json::object{ { "status", "ok" } }));
    return;
  }
  Run(aRequest, mFaults.Match(aRequest, aNow), aNow);
}

void
StandinPort::Run(const http::Request& aRequest,
                 const std::optional<FaultRule>& aFault,
                 base::TimePoint aNow)
{
  if (!aFault) {
    Deliver(aRequest, mLatency, aNow);
    return;
  }
  switch (aFault->mKind) {
    case FaultKind::Refuse:
      mSend(ErrorReply(aRequest.mId, aFault->mStatus, "refused", "refused by a fault rule"));
      return;
    case FaultKind::Hang:
      return;
    case FaultKind::Slow:
      Deliver(aRequest, mLatency + aFault->mDelay, aNow);
      return;
    case FaultKind::LoseAnswer:
    case FaultKind::FailAfterRun:
    case FaultKind::StallStream:
    case FaultKind::TruncateStream:
      mAltered.emplace(aRequest.mId, AlteredAnswer{ *aFault });
      Deliver(aRequest, mLatency, aNow);
      return;
  }
}

void
StandinPort::Deliver(const http::Request& aRequest, base::Millis aDelay, base::TimePoint aNow)
{
  if (aDelay > base::Millis(0)) {
    mDelayed.emplace(aNow + aDelay, aRequest);
    return;
  }
  mStandin->OnRequest(aRequest, aNow);
}

void
StandinPort::OnClosed(uint64_t aRequest, base::TimePoint aNow)
{
  // A delayed request still runs: its bytes have arrived, only the caller has gone.
  const bool delayed = std::any_of(mDelayed.begin(), mDelayed.end(), [aRequest](const auto& aItem) {
    return aItem.second.mId == aRequest;
  });
  if (!delayed) {
    mStandin->OnClosed(aRequest, aNow);
    mAltered.erase(aRequest);
  }
}

std::optional<base::TimePoint>
StandinPort::NextTimer() const
{
  const auto own = mStandin->NextTimer();
  if (mDelayed.empty()) {
    return own;
  }
  return own ? std::min(*own, mDelayed.begin()->first) : mDelayed.begin()->first;
}

void
StandinPort::OnTimer(base::TimePoint aNow)
{
  while (!mDelayed.empty() && mDelayed.begin()->first <= aNow) {
    const http::Request request = std::move(mDelayed.begin()->second);
    mDelayed.erase(mDelayed.begin());
    mStandin->OnRequest(request, aNow);
  }
  const auto next = mStandin->NextTimer();
  if (next && *next <= aNow) {
    mStandin->OnTimer(aNow);
  }
}

void
StandinPort::Control(const http::Request& aRequest, base::TimePoint aNow)
{
  auto control = ParseObject(aRequest.mBody);
  const auto applied = base::IsOk(control) ? ApplyControl(base::ValueOf(control), aNow)
                                           : base::Result<base::Unit>(base::ErrorOf(control));
  if (!base::IsOk(applied)) {
    const base::Error& error = base::ErrorOf(applied);
    mSend(
      ErrorReply(aRequest.mId, kInvalid, "invalid_control", error.mMessage + ": " + error.mField));
    return;
  }
  base::Log(base::LogEvent::FaultInjected, "{}", aRequest.mBody);
  mSend(JsonReply(aRequest.mId, kOk, json::object{}));
}

static base::Result<std::vector<FaultRule>>
ParseFaults(const json::value& aFaults)
{
  if (!aFaults.is_array()) {
    return base::Error{ base::ErrorKind::InvalidField, "\"faults\" is an array", "faults" };
  }
  std::vector<FaultRule> rules;
  for (const json::value& value : aFaults.get_array()) {
    const auto rule = ParseFaultRule(value);
    if (!base::IsOk(rule)) {
      return base::ErrorOf(rule);
    }
    rules.push_back(base::ValueOf(rule));
  }
  return rules;
}

base::Result<base::Unit>
StandinPort::ApplyControl(const json::object& aControl, base::TimePoint aNow)
{
  json::object rest = aControl;
  const json::value* faults = aControl.if_contains("faults");
  const auto rules = ParseFaults(faults == nullptr ? json::value(json::array{}) : *faults);
  if (!base::IsOk(rules)) {
    return base::ErrorOf(rules);
  }
  for (const std::string_view key : { "faults", "clear_faults", "reset_stats" }) {
    rest.erase(key);
  }
  if (!rest.empty()) {
    auto applied = mStandin->OnControl(rest, aNow);
    if (!base::IsOk(applied)) {
      return applied;
    }
  }
  if (BoolField(aControl, "clear_faults")) {
    mFaults.Clear();
  }
  if (BoolField(aControl, "reset_stats")) {
    mStandin->ResetStats(aNow);
  }
  for (const FaultRule& rule : base::ValueOf(rules)) {
    mFaults.Add(rule, aNow);
  }
  return base::Unit{};
}

void
StandinPort::StatsReply(uint64_t aRequest, base::TimePoint aNow)
{
  json::object stats = mStandin->Stats(aNow);
  stats["faults_applied"] = mFaults.Applied();
  mSend(JsonReply(aRequest, kOk, stats));
}

void
StandinPort::Answer(http::ResponsePart aPart)
{
  const auto altered = mAltered.find(aPart.mRequest);
  if (altered == mAltered.end()) {
    mSend(std::move(aPart));
    return;
  }
  const bool last = aPart.mLast;
  Alter(altered->second, std::move(aPart));
  if (last) {
    mAltered.erase(altered);
  }
}

void
StandinPort::Alter(AlteredAnswer& aAnswer, http::ResponsePart aPart)
{
  ++aAnswer.mParts;
  if (aAnswer.mRule.mKind == FaultKind::LoseAnswer) {
    return;
  }
  if (aAnswer.mRule.mKind == FaultKind::FailAfterRun) {
    if (aPart.mLast) {
      mSend(ErrorReply(aPart.mRequest, aAnswer.mRule.mStatus, "failed", "failed by a fault rule"));
    }
    return;
  }
  AlterStream(aAnswer, std::move(aPart));
}

void
StandinPort::AlterStream(AlteredAnswer& aAnswer, http::ResponsePart aPart)
{
  if (aAnswer.mParts <= aAnswer.mRule.mAfterParts) {
    mSend(std::move(aPart));
    return;
  }
  const bool truncate = aAnswer.mRule.mKind == FaultKind::TruncateStream;
  if (truncate && aAnswer.mParts == aAnswer.mRule.mAfterParts + 1) {
    aPart.mBody.clear();
    aPart.mLast = true;
    mSend(std::move(aPart));
  }
}

}

#include "call_runner.h"

#include "account_access.h"
#include "bounded_name.h"
#include "call.h"
#include "dispatcher.h"
#include "elapsed.h"
#include "refusal.h"
#include "request_hash.h"
#include "sycamore/base/log.h"
#include "turn_runner.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::ErrorKind;
using base::Millis;

// Deadline of a call that names none and whose route has no timeout.
static constexpr Millis kDefaultDeadline{ 10000 };

// A call that arrives while the process stops is answered this long before its end.
static constexpr Millis kStopMargin{ 300 };

// Counts an open call for its lifetime.
class OpenCallGuard
{
public:
  explicit OpenCallGuard(Context& aContext)
    : mContext(aContext)
  {
    ++mContext.mCallsOpen;
  }

  ~OpenCallGuard() { --mContext.mCallsOpen; }

  OpenCallGuard(const OpenCallGuard&) = delete;
  OpenCallGuard& operator=(const OpenCallGuard&) = delete;

private:
  Context& mContext;
};

static std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Sets the headers, deadline, route and service of aCall. Returns an error if the request cannot be
// routed.
static std::optional<base::Error>
ResolveCall(const Context& aContext, Call& aCall)
{
  aCall.mHead = aContext.mHeaderCodec.DecodeCall(aCall.mRequest);
  aCall.mTurnName = BoundedName(aCall.mHead.mAttempt);
  aCall.mHead.mProgram = BoundedName(std::move(aCall.mHead.mProgram));
  if (aCall.mHead.mPreviousTurn) {
    aCall.mHead.mPreviousTurn = BoundedName(std::move(*aCall.mHead.mPreviousTurn));
  }
  aCall.mDeadline = aCall.mArrived + aCall.mHead.mDeadline.value_or(kDefaultDeadline);
  aCall.mTable = aContext.mRoutes;
  if (!aCall.mTable) {
    return base::Error{ ErrorKind::ConfigStale, "no configuration is known yet", "" };
  }
  const std::optional<std::string> key = TakeKey(aContext, aCall);
  aCall.mRoute = FindRoute(
    *aCall.mTable, ToView(aCall.mRequest[http::field::host]), ToView(aCall.mRequest.target()));
  if (aCall.mRoute == nullptr) {
    return base::Error{ ErrorKind::UnknownRoute, "no route takes this host and path", "" };
  }
  if (aCall.mHead.mMalformed || aCall.mHead.mAttempt.empty()) {
    return base::Error{ ErrorKind::MalformedBody,
                        "a header of the call is missing or invalid",
                        "" };
  }
  if (auto error = CheckAccount(aContext, key, aCall)) {
    return error;
  }
  if (aCall.mRoute->mTimeout > Millis(0)) {
    aCall.mDeadline = std::min(aCall.mDeadline, aCall.mArrived + aCall.mRoute->mTimeout);
  }
  if (aContext.mStopping) {
    // The end of the process would cut the connection, which says nothing of whether the call ran.
    aCall.mDeadline = std::min(aCall.mDeadline, aContext.mStopsAt - kStopMargin);
  }
  const std::string& splitKey =
    aCall.mHead.mProgram.empty() ? aCall.mHead.mAttempt : aCall.mHead.mProgram;
  aCall.mServiceName = ServiceFor(*aCall.mRoute, splitKey);
  const auto service = aCall.mTable->mServices.find(aCall.mServiceName);
  aCall.mService = service == aCall.mTable->mServices.end() ? nullptr : &service->second;
  return std::nullopt;
}

static boost::asio::awaitable<CallOutcome>
RunSingle(Context& aContext, CallerLink& aLink, Call& aCall)
{
  const DispatchHint hint{ "", aCall.mHead.mPromptTokens };
  auto result = co_await Dispatch(aContext, aLink, aCall, aCall.mRequest.body(), hint, nullptr);
  if (result.mExchange.mStatus == ExchangeStatus::Whole) {
    const auto status = result.mExchange.mAnswer.result_int();
    co_await aLink.SendWhole(std::move(result.mExchange.mAnswer));
    co_return CallOutcome{ CallEnd::Answered,
                           fmt::format("replica {} answered {}", result.mReplica, status),
                           {} };
  }
  if (aLink.Gone()) {
    co_return CallOutcome{ CallEnd::CallerGone, "caller gone", {} };
  }
  const base::Error error = ErrorFor(result);
  co_return co_await SendRefusal(aLink, aCall, error);
}

static boost::asio::awaitable<CallOutcome>
RunResolved(Context& aContext, CallerLink& aLink, Call& aCall)
{
  aCall.mSlot.emplace(aContext.mCallSlots, aCall.mServiceName);
  if (!aCall.mSlot->Granted()) {
    const base::Error full{ ErrorKind::Overloaded, "too many calls are in progress", "" };
    co_return co_await SendRefusal(aLink, aCall, full);
  }
  const QuotaGuard quota(aContext, aCall);
  if (!quota.Verdict().mAllowed) {
    co_return co_await RefuseOverQuota(aLink, aCall, quota.Verdict());
  }
  if (aCall.mRoute->mKind == CallKind::Stream) {
    TurnRunner runner(aContext, aLink, aCall);
    CallOutcome outcome = co_await runner.Run();
    co_return outcome;
  }
  CallOutcome outcome = co_await RunSingle(aContext, aLink, aCall);
  co_return outcome;
}

boost::asio::awaitable<void>
RunCall(Context& aContext, CallerLink& aLink, CallerRequest aRequest)
{
  Call call;
  call.mArrived = base::Clock::now();
  call.mRequest = std::move(aRequest);
  call.mHash = HashOf(call.mRequest);
  const OpenCallGuard open(aContext);
  CallOutcome outcome;
  if (const auto error = ResolveCall(aContext, call)) {
    outcome = co_await SendRefusal(aLink, call, *error);
  } else if (aContext.mSuspects.IsBarred(call.mHash)) {
    const base::Error barred = BarredError();
    outcome = co_await SendRefusal(aLink, call, barred);
  } else {
    outcome = co_await RunResolved(aContext, aLink, call);
  }
  const auto took = Since(call.mArrived);
  aContext.mMetrics.NoteCall(outcome, took);
  base::Log(base::LogEvent::GatewayCall,
            "attempt={} program={} account={} route={} config={} took_ms={} {}outcome=\"{}\"",
            call.mHead.mAttempt,
            call.mHead.mProgram,
            call.mAccount != nullptr ? call.mAccount->mName : "-",
            call.mRoute != nullptr ? call.mRoute->mName : "-",
            call.mTable ? call.mTable->mVersion : 0,
            took.count(),
            TraceText(call.mTrace),
            outcome.mDetail);
}

}

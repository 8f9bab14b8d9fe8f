#include "refusal.h"

#include "elapsed.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// The Retry-After time is at most the caller's remaining time divided by this; callers honour no
// longer one.
static constexpr int kRetryAfterDivisor = 3;

boost::asio::awaitable<CallOutcome>
SendRefusal(CallerLink& aLink, const Call& aCall, const base::Error& aError, Millis aRetryAfter)
{
  const base::Answer& answer = base::AnswerFor(aError.mKind);
  std::optional<Millis> retryAfter;
  if (answer.mRun == base::RunState::NotRun && answer.mRetryable) {
    const auto left = Until(aCall.mDeadline);
    retryAfter = std::clamp(left / kRetryAfterDivisor, Millis(0), aRetryAfter);
  }
  WholeAnswer refusal = ErrorAnswer(aError, retryAfter);
  co_await aLink.SendWhole(std::move(refusal));
  co_return CallOutcome{ CallEnd::Refused, aError.mMessage, aError.mKind };
}

boost::asio::awaitable<CallOutcome>
RefuseOverQuota(CallerLink& aLink, const Call& aCall, const accounts::QuotaVerdict& aVerdict)
{
  const base::Error error{ base::ErrorKind::RequestLimit,
                           fmt::format("the account {} has used up its request limit",
                                       aCall.mAccount->mName),
                           "" };
  WholeAnswer refusal = ErrorAnswer(error, aVerdict.mRetryAfter);
  co_await aLink.SendWhole(std::move(refusal));
  co_return CallOutcome{ CallEnd::Refused, error.mMessage, error.mKind };
}

}

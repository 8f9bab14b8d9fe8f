#include "refusal.h"

#include "elapsed.h"

#include <algorithm>

namespace sycamore::gateway {

using base::Millis;

// Callers honour at most this share of the time that they have left.
static constexpr int kMostOfTimeLeft = 3;

boost::asio::awaitable<CallOutcome>
SendRefusal(CallerLink& aLink, const Call& aCall, const base::Error& aError, Millis aRetryAfter)
{
  const base::Answer& answer = base::AnswerFor(aError.mKind);
  std::optional<Millis> retryAfter;
  if (answer.mRun == base::RunState::NotRun && answer.mRetryable) {
    const auto left = Until(aCall.mDeadline);
    retryAfter = std::clamp(left / kMostOfTimeLeft, Millis(0), aRetryAfter);
  }
  WholeAnswer refusal = ErrorAnswer(aError, retryAfter);
  co_await aLink.SendWhole(std::move(refusal));
  co_return CallOutcome{ CallEnd::Refused, aError.mMessage, aError.mKind };
}

}

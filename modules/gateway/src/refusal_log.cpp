#include "refusal_log.h"

#include "sycamore/base/log.h"

namespace sycamore::gateway {

static constexpr base::Seconds kLineInterval{ 1 };
// Accounts with a line of their own; the others share one.
static constexpr size_t kMaxLines = 1000;

void
RefusalLog::Note(const std::string& aAccount,
                 std::string_view aReason,
                 std::string_view aAttempt,
                 const accounts::QuotaVerdict& aVerdict)
{
  std::string key = aAccount + "/" + std::string(aReason);
  if (mLines.size() >= kMaxLines && !mLines.contains(key)) {
    key = "others";
  }
  Line& line = mLines[key];
  ++line.mRefused;
  const base::TimePoint now = base::Clock::now();
  if (now - line.mLoggedAt < kLineInterval) {
    return;
  }
  base::Log(base::LogEvent::AccountRefused,
            "account={} reason={} attempt={} refused={} used={} share={:.1f} limit={:.1f} "
            "others={:.0f} retry_after_ms={}",
            aAccount,
            aReason,
            aAttempt,
            line.mRefused,
            aVerdict.mAdmitted,
            aVerdict.mShare,
            aVerdict.mLimit,
            aVerdict.mOthers,
            aVerdict.mRetryAfter.count());
  line = { now, 0 };
}

}

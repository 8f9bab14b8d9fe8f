#include "call_trace.h"

#include <fmt/format.h>
#include <iterator>
#include <string_view>

namespace sycamore::gateway {

static void
AppendStage(std::string& aText, std::string_view aName, std::optional<base::Millis> aTook)
{
  if (aTook) {
    fmt::format_to(std::back_inserter(aText), "{}={} ", aName, aTook->count());
  }
}

std::string
TraceText(const CallTrace& aTrace)
{
  std::string text;
  AppendStage(text, "history_ms", aTrace.mHistory);
  AppendStage(text, "reservation_ms", aTrace.mReservation);
  AppendStage(text, "first_event_ms", aTrace.mFirstEvent);
  AppendStage(text, "replica_ms", aTrace.mReplica);
  AppendStage(text, "commit_ms", aTrace.mCommit);
  if (const auto& replica = aTrace.mLastReplica) {
    fmt::format_to(std::back_inserter(text),
                   "replica={} domain={} assumed_load={:.1f}/{} kept_tokens={}/{} ",
                   replica->mId,
                   replica->mDomain,
                   replica->mAssumedLoad,
                   replica->mSlots,
                   replica->mKeptTokens,
                   replica->mPromptTokens);
    if (replica->mReported) {
      fmt::format_to(std::back_inserter(text),
                     "reported_load={} ",
                     replica->mReported->mRunning + replica->mReported->mWaiting);
    }
  }
  return text;
}

}

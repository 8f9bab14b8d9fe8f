#include "explain.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace sycamore::ctl {

using base::LogEvent;

// Number of lines before the first one of the request in which its cause is searched. The loss of
// the store is logged once, when it begins, and each request writes a line or two.
static constexpr size_t kMaxContextLines = 2000;

static bool
HasId(const LogLine& aLine, const std::string& aId)
{
  return FieldOf(aLine.mText, "attempt") == aId || FieldOf(aLine.mText, "program") == aId;
}

// Whether a line reports a state change of a process, such as its start, a new table, or a lost or
// recovered connection to the store.
static bool
IsContext(const LogLine& aLine)
{
  static const std::set<LogEvent> kEvents{ LogEvent::ProcessStarted,   LogEvent::ProcessStopping,
                                           LogEvent::SettingsReloaded, LogEvent::LogAppendFailed,
                                           LogEvent::LogReadFailed,    LogEvent::LogAppendRecovered,
                                           LogEvent::HistoryLoaded,    LogEvent::TableChanged,
                                           LogEvent::EditRejected,     LogEvent::RetentionTooLong,
                                           LogEvent::PeerLost,         LogEvent::DrainStarted };
  return kEvents.contains(aLine.mEvent) && FieldOf(aLine.mText, "attempt").empty();
}

static bool
IsReplicaEvent(const LogLine& aLine, const std::set<std::string>& aReplicas)
{
  static const std::set<LogEvent> kEvents{ LogEvent::ReplicaAvoided,
                                           LogEvent::ReplicaRestored,
                                           LogEvent::InstanceLeaving,
                                           LogEvent::InstanceGone };
  return kEvents.contains(aLine.mEvent) && aReplicas.contains(FieldOf(aLine.mText, "replica"));
}

namespace {

// The finding for calls whose outcome contains a text.
struct Meaning
{
  std::string_view mOutcomeText;
  std::string_view mFinding;
};

}

static constexpr std::array kMeanings{
  Meaning{
    "the store cannot be reached",
    "refused, not run: neither this instance nor a peer that it asked reached the store; see "
    "the lines log_append_failed and log_read_failed above" },
  Meaning{ "the history is being loaded",
           "refused, not run: the process had just started and was still loading the history" },
  Meaning{
    "there is no such turn",
    "the stream was read to its end and does not contain this turn: the caller named a wrong one, "
    "or it is older than the retention" },
  Meaning{ "the program's budget is spent",
           "not run: used and reserved tokens left too little of the budget for this turn" },
  Meaning{ "the budget could not be reserved",
           "the reservation was refused or not acknowledged in time while the replica worked; "
           "no part of the answer was sent to the caller" },
  Meaning{ "not recorded in time",
           "the answer was complete, but its record was not acknowledged before the deadline; the "
           "stream was aborted so that it does not look complete" },
  Meaning{
    "the call may have run",
    "a replica received the call and returned no usable answer; a call that may not be repeated is "
    "not sent again: ask the service whether it ran" },
  Meaning{ "no replica ran the call",
           "all replicas that were tried refused it or could not be reached; see replica_try" },
  Meaning{ "not answered in time", "the deadline passed while a replica worked on the call" },
  Meaning{ "caller gone", "the caller closed its connection first" },
  Meaning{ "no route takes this host and path",
           "no route of the configuration in force matches the request; compare the config version "
           "with the table" },
  Meaning{ "no configuration is known yet",
           "refused: the process has not yet read a configuration from the store" },
};

// A sentence for a line that says how a request ended or why a replica did not serve it.
static std::string
FindingOf(const LogLine& aLine)
{
  const std::string attempt = FieldOf(aLine.mText, "attempt");
  if (aLine.mEvent == LogEvent::ReplicaTry) {
    return fmt::format("{}: replica {}: {} ({})",
                       attempt,
                       FieldOf(aLine.mText, "replica"),
                       FieldOf(aLine.mText, "outcome"),
                       FieldOf(aLine.mText, "detail"));
  }
  if (aLine.mEvent != LogEvent::GatewayCall) {
    return "";
  }
  const std::string outcome = FieldOf(aLine.mText, "outcome");
  const auto meaning =
    std::find_if(kMeanings.begin(), kMeanings.end(), [&](const Meaning& aMeaning) {
      return outcome.find(aMeaning.mOutcomeText) != std::string::npos;
    });
  return fmt::format("{}: after {} ms, {}",
                     attempt,
                     FieldOf(aLine.mText, "took_ms"),
                     meaning == kMeanings.end() ? outcome : std::string(meaning->mFinding));
}

Explanation
Explain(std::vector<LogLine> aLines, const std::string& aId)
{
  std::stable_sort(aLines.begin(), aLines.end(), [](const LogLine& aLeft, const LogLine& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
  const auto hasId = [&](const LogLine& aLine) { return HasId(aLine, aId); };
  const auto first = std::find_if(aLines.begin(), aLines.end(), hasId);
  const auto last = std::find_if(aLines.rbegin(), aLines.rend(), hasId).base();
  std::set<std::string> instances;
  std::set<std::string> replicas;
  for (auto line = first; line != aLines.end(); ++line) {
    if (hasId(*line)) {
      instances.insert(line->mInstance);
      replicas.insert(FieldOf(line->mText, "replica"));
    }
  }
  replicas.erase("");
  Explanation explanation;
  const auto before = std::min<std::ptrdiff_t>(first - aLines.begin(), kMaxContextLines);
  for (auto line = first - before; line < last; ++line) {
    const bool isContext = instances.contains(line->mInstance) && IsContext(*line);
    if (!hasId(*line) && !isContext && !IsReplicaEvent(*line, replicas)) {
      continue;
    }
    std::string finding = hasId(*line) ? FindingOf(*line) : "";
    if (!finding.empty()) {
      explanation.mFindings.push_back(std::move(finding));
    }
    explanation.mLines.push_back(*line);
  }
  return explanation;
}

}

#pragma once

#include "sycamore/base/log_event.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::ctl {

// A log line of a daemon; docs/events.md describes the format.
struct LogLine
{
  std::string mTime; // As written; sorts by time.
  std::string mLevel;
  std::string mInstance;
  base::LogEvent mEvent = base::LogEvent::ProcessStarted;
  std::string mName;
  std::string mText;
};

// Parses a line in the format of docs/events.md; columns that a log collector put before the time
// are skipped. Empty if aLine has another format.
std::optional<LogLine>
ParseLogLine(std::string_view aLine);

// The value of aKey in aText, where fields are written as key=value or key="value"; empty if there
// is none.
std::string
FieldOf(std::string_view aText, std::string_view aKey);

}

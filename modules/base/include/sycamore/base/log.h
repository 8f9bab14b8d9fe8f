#pragma once

#include "sycamore/base/log_event.h"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace sycamore::base {

// Sets the name that begins each line of this process. Call once, before threads start.
void
SetLogInstance(std::string aInstance);

// Sets the least severity that is written. Thread-safe.
void
SetLogLevel(LogLevel aLevel);

// Writes one line to standard error: time, level, instance, event number and name, text. One write
// per line, so that lines of several threads do not mix.
void
WriteLog(LogEvent aEvent, std::string_view aText);

// Whether aEvent's severity is written at present.
bool
LogEnabled(LogEvent aEvent);

// Formats and writes one line. Arguments are formatted only if the event is enabled.
template<typename... Args>
void
Log(LogEvent aEvent, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  if (LogEnabled(aEvent)) {
    WriteLog(aEvent, fmt::format(aFormat, std::forward<Args>(aArgs)...));
  }
}

}

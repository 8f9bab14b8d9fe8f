#pragma once

#include "sycamore/base/log_event.h"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace sycamore::base {

// Sets the name that begins each line of this process. Call once, before threads start.
void
SetLogInstance(std::string aInstance);

// Sets the least severity that is written. Thread-safe.
void
SetLogLevel(LogLevel aLevel);

// Writes one line: time, level, instance, event number and name, text. Goes to standard error at
// once, or, while a LogWriter exists, to its thread.
void
WriteLog(LogEvent aEvent, std::string_view aText);

// Writes the lines of this process to standard output on a thread of its own, so that a slow reader
// never holds up a call. Lines that find the bounded queue full are counted and dropped; the next
// line that is written tells how many. At most one exists at a time.
class LogWriter
{
public:
  LogWriter();
  // Writes what is queued and joins the thread.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

private:
  void Run();

  std::thread mThread;
};

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

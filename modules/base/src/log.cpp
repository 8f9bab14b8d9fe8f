#include "sycamore/base/log.h"

#include "sycamore/base/clock.h"

#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <unistd.h>

namespace sycamore::base {

static std::string sInstance = "-";
static std::atomic<LogLevel> sLevel{ LogLevel::Info };

static std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

void
SetLogInstance(std::string aInstance)
{
  sInstance = std::move(aInstance);
}

void
SetLogLevel(LogLevel aLevel)
{
  sLevel.store(aLevel);
}

bool
LogEnabled(LogEvent aEvent)
{
  return InfoFor(aEvent).mLevel >= sLevel.load();
}

void
WriteLog(LogEvent aEvent, std::string_view aText)
{
  const LogEventInfo& info = InfoFor(aEvent);
  const auto now = std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
  const std::string line = fmt::format("{:%FT%T}Z {} {} E{:03d} {} {}\n",
                                       now,
                                       LevelName(info.mLevel),
                                       sInstance,
                                       static_cast<int>(aEvent),
                                       info.mName,
                                       aText);
  // A log line that cannot be written has no other place to go.
  [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
}

}

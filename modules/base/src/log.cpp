#include "sycamore/base/log.h"

#include "sycamore/base/clock.h"
#include "sycamore/base/ring.h"

#include <atomic>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <fmt/chrono.h>
#include <memory>
#include <unistd.h>

namespace sycamore::base {

static std::string sInstance = "-";
static std::atomic<LogLevel> sLevel{ LogLevel::Info };

// Lines that wait for the writer at most; about half a megabyte, and never more than 4 MB.
static constexpr size_t kQueuedLines = 2048;
// A longer text is cut: parts of it may come from callers.
static constexpr size_t kMaxTextBytes = 2048;
static constexpr size_t kMostBytesPerWrite = 65536;
// Longer than a process runs: the queue wakes the writer at each line and at its end.
static constexpr Seconds kIdleWait{ 30LL * 24 * 3600 };

// Set before threads start and reset after they end.
static std::unique_ptr<Ring<std::string>> sQueue;
static std::atomic<uint64_t> sDropped{ 0 };

// A log line that cannot be written has no other place to go.
static void
WriteAll(int aDescriptor, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t written = ::write(aDescriptor, aText.data(), aText.size());
    if (written < 0 && errno != EINTR) {
      return;
    }
    aText.remove_prefix(written < 0 ? 0 : static_cast<size_t>(written));
  }
}

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
  const bool cut = aText.size() > kMaxTextBytes;
  const std::string line = fmt::format("{:%FT%T}Z {} {} E{:03d} {} {}{}\n",
                                       now,
                                       LevelName(info.mLevel),
                                       sInstance,
                                       static_cast<int>(aEvent),
                                       info.mName,
                                       aText.substr(0, kMaxTextBytes),
                                       cut ? "... (cut)" : "");
  if (!sQueue) {
    WriteAll(STDERR_FILENO, line);
  } else if (!sQueue->TryPush(line)) {
    ++sDropped;
  }
}

LogWriter::LogWriter()
{
  assert(!sQueue);
  sQueue = std::make_unique<Ring<std::string>>(kQueuedLines);
  mThread = std::thread([this] { Run(); });
}

LogWriter::~LogWriter()
{
  sQueue->Close();
  mThread.join();
  sQueue.reset();
}

void
LogWriter::Run()
{
  while (auto line = sQueue->PopFor(kIdleWait)) {
    std::string lines = std::move(*line);
    for (auto next = sQueue->TryPop(); next && lines.size() < kMostBytesPerWrite;
         next = sQueue->TryPop()) {
      lines += *next;
    }
    if (const uint64_t dropped = sDropped.exchange(0); dropped > 0) {
      lines += fmt::format("log_lines_dropped count={}\n", dropped);
    }
    WriteAll(STDOUT_FILENO, lines);
  }
}

}

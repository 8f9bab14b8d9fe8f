#include "sycamore/daemon/run.h"

#include "sycamore/base/clock.h"
#include "sycamore/base/log.h"

#include <csignal>
#include <ctime>
#include <optional>

namespace sycamore::daemon {

using base::Log;
using base::LogEvent;

// Interval at which Drain checks whether all work has finished.
static constexpr base::Millis kDrainPollInterval{ 20 };

static sigset_t
AwaitedSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void
BlockSignals()
{
  const sigset_t signals = AwaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

// Waits at most aTimeout for a stop signal. Runs aReload at each SIGHUP, which ends the wait too.
static std::optional<int>
WaitForStop(base::Millis aTimeout, const std::function<void()>& aReload)
{
  const sigset_t signals = AwaitedSignals();
  timespec timeout{};
  timeout.tv_sec = aTimeout.count() / 1000;
  timeout.tv_nsec = (aTimeout.count() % 1000) * 1000000;
  const int signal = sigtimedwait(&signals, nullptr, &timeout);
  if (signal == SIGHUP) {
    aReload();
  }
  return signal > 0 && signal != SIGHUP ? std::optional<int>(signal) : std::nullopt;
}

// Returns whether all work in flight finished.
static bool
Drain(Service& aService, base::Millis aLimit, const std::function<void()>& aReload)
{
  const base::TimePoint latest = base::Clock::now() + aLimit;
  aService.BeginDrain();
  while (!aService.Drained()) {
    if (base::Clock::now() >= latest || WaitForStop(kDrainPollInterval, aReload)) {
      return false;
    }
  }
  return true;
}

int
RunUntilSignal(Service& aService, base::Millis aDrainLimit, const std::function<void()>& aReload)
{
  const auto started = aService.Start();
  if (!base::IsOk(started)) {
    Log(LogEvent::SettingsInvalid, "start failed: {}", base::ErrorOf(started).mMessage);
    aService.Stop();
    return ExitStartFailed;
  }
  std::optional<int> signal;
  while (!signal) {
    signal = WaitForStop(base::Seconds(3600), aReload);
  }
  Log(LogEvent::ProcessStopping, "signal={}", *signal);
  const bool drained = Drain(aService, aDrainLimit, aReload);
  aService.Stop();
  Log(LogEvent::ProcessStopped, "drained={}", drained);
  return drained ? ExitOk : ExitDrainIncomplete;
}

}

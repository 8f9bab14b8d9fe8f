#pragma once

#include "sycamore/daemon/service.h"

#include <functional>

namespace sycamore::daemon {

// Exit codes of sycamoreleverd.
enum ExitCode : int
{
  ExitOk = 0,
  ExitStartFailed = 1,
  ExitInvalidSettings = 2,
  ExitDrainIncomplete = 3, // A second signal or the drain limit cut off work in flight.
};

// Blocks the signals that RunUntilSignal waits for. Call before any thread is started.
void
BlockSignals();

// Starts aService and runs it until SIGTERM or SIGINT, then drains it for at most aDrainLimit. A
// second one of these signals ends the drain at once. SIGHUP runs aReload.
int
RunUntilSignal(Service& aService, base::Millis aDrainLimit, const std::function<void()>& aReload);

}

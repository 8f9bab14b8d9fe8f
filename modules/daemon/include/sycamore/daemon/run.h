#pragma once

#include "sycamore/daemon/service.h"

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
// second signal ends the drain at once.
int
RunUntilSignal(Service& aService, base::Millis aDrainLimit);

}

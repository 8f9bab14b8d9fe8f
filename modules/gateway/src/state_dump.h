#pragma once

#include "context.h"
#include "metrics.h"

#include <string>

namespace sycamore::gateway {

// What the metrics tell of the state of aContext besides its counters.
Gauges
GaugesOf(const Context& aContext);

// The state of aContext as JSON: configuration, replicas with what this process has seen of them,
// programs and the ways to the store.
std::string
DumpState(const Context& aContext);

}

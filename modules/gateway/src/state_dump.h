#pragma once

#include "context.h"
#include "metrics.h"

#include <string>

namespace sycamore::gateway {

// Values of the gauges for the state of aContext.
Gauges
GaugesOf(const Context& aContext);

// The state of aContext as JSON: configuration, replicas as observed by this process, programs and
// the paths to the store.
std::string
DumpState(const Context& aContext);

}

#pragma once

#include "sycamore/sidecar/sidecar_counters.h"

#include <string>

namespace sycamore::sidecar {

// Counters in the Prometheus text format.
std::string
MetricsText(const SidecarCounters& aCounters);

}

#pragma once

#include "sycamore/sidecar/config_age.h"

#include "call_runner.h"
#include "core_state.h"

#include <string>

namespace sycamore::sidecar {

// The state of a core as JSON.
std::string
DumpCore(const CoreState& aState,
         const CallRunner& aCalls,
         const ConfigAge& aConfig,
         base::TimePoint aNow);

}

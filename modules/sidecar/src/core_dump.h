#pragma once

#include "sycamore/sidecar/config_age.h"

#include "call_runner.h"
#include "core_state.h"
#include "memory_runner.h"
#include "order_runner.h"

#include <string>

namespace sycamore::sidecar {

// References to the components of a core.
struct CoreParts
{
  const CoreState& mState;
  const CallRunner& mCalls;
  const MemoryRunner& mMemory;
  const OrderRunner& mOrders;
  const ConfigAge& mConfig;
};

// Returns the state of a core as JSON.
std::string
DumpCore(const CoreParts& aParts, base::TimePoint aNow);

}

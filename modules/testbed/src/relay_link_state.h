#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/testbed/relay_mode.h"

#include <cstdint>

namespace sycamore::testbed {

// The state that the connections of one link share.
struct RelayLinkState
{
  RelayMode mMode = RelayMode::Forward;
  base::Millis mDelay{ 0 };
  uint64_t mForwardedBytes = 0;
  uint64_t mDroppedBytes = 0;
};

}

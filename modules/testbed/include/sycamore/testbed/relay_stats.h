#pragma once

#include <cstdint>

namespace sycamore::testbed {

// Counters of one link of a relay.
struct RelayStats
{
  uint64_t mAccepted = 0;       // Connections so far.
  uint64_t mOpen = 0;           // Connections now, dropping ones included.
  uint64_t mDropping = 0;       // Of them, those that discard all bytes.
  uint64_t mForwardedBytes = 0; // Both directions.
  uint64_t mDroppedBytes = 0;   // Both directions.
};

}

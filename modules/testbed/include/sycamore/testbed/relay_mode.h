#pragma once

#include <cstdint>

namespace sycamore::testbed {

enum class RelayMode : uint8_t
{
  Forward, // Passes all bytes on.
  Hold,    // Keeps all bytes until the mode changes, as a network partition does.
  Refuse,  // Closes all connections and the listening socket.
};

}

#pragma once

#include <cstdint>
#include <string>

namespace sycamore::world {

enum class TargetKind : uint8_t
{
  Engine,
  Tool,
};

// A replica of a service behind a sidecar.
struct Target
{
  std::string mName;    // Unique, e.g. "inspect-llm-3".
  std::string mService; // E.g. "inspect-llm".
  TargetKind mKind = TargetKind::Engine;
  bool mChecksFence = false; // Whether it rejects an old fencing token.
};

}

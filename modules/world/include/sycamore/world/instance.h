#pragma once

#include <cstdint>
#include <string>

namespace sycamore::world {

enum class InstanceState : uint8_t
{
  Live,
  Leaving,
};

// A row of the platform's instance list. The list lags behind reality and is a hint only.
struct Instance
{
  std::string mName;
  std::string mRole; // "entry" or "sidecar".
  std::string mRegion;
  std::string mDomain;  // Failure domain.
  std::string mAddress; // Peer endpoint, "address:port".
  InstanceState mState = InstanceState::Live;

  bool operator==(const Instance&) const = default;
};

}

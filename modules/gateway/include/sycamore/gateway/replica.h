#pragma once

#include "sycamore/http/endpoint.h"

#include <cstdint>
#include <string>

namespace sycamore::gateway {

// A replica of a service, as it describes itself in the platform's list.
struct Replica
{
  std::string mId;
  std::string mService;
  http::Endpoint mEndpoint;
  std::string mDomain; // Failure domain.
  uint32_t mSlots = 1;
  bool mLeaving = false;
  int64_t mStartedUnixMs = 0; // Start of this incarnation; 0 if unknown.

  bool operator==(const Replica&) const = default;
};

}

#pragma once

#include "caller_link.h"

#include <cstdint>

namespace sycamore::gateway {

// Identifies a request that comes again under another attempt id, at any gateway. The address of
// its connection is no part of it: many callers share one, and a caller has several.
struct RequestHash
{
  uint64_t mPath = 0;    // Of method, host and path.
  uint64_t mRequest = 0; // Of the body too.

  bool operator==(const RequestHash&) const = default;
};

RequestHash
HashOf(const CallerRequest& aRequest);

}

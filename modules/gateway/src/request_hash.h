#pragma once

#include "caller_link.h"

#include <cstdint>
#include <string_view>

namespace sycamore::gateway {

// Identifies a request that comes again under another attempt id: the same for the same caller,
// method, host, path and body, at all gateways.
uint64_t
RequestHash(const CallerRequest& aRequest, std::string_view aCaller);

}

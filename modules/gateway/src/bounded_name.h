#pragma once

#include <string>

namespace sycamore::gateway {

// The name under which state is kept of what a caller calls aName: aName itself, or its hash if it
// is longer than 64 bytes. Otherwise a caller could fill the memory of all gateways, and the log,
// with long names. No other name has the same result. The same in all gateways.
std::string
BoundedName(std::string aName);

}

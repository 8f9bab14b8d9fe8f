#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamore::base {

// The whole of aText as a number without sign; nothing if it is empty, has other characters or is
// out of range.
std::optional<uint64_t>
ParseNumber(std::string_view aText, int aBase = 10);

}

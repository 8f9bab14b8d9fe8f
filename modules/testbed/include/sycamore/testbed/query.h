#pragma once

#include <cstdint>
#include <string_view>

namespace sycamore::testbed {

// The value of aKey in a query such as "from=3&max_bytes=100"; empty if absent. Values are not
// percent-decoded.
std::string_view
QueryText(std::string_view aQuery, std::string_view aKey);

// The same as a number; aDefault if absent or no number.
uint64_t
QueryUint(std::string_view aQuery, std::string_view aKey, uint64_t aDefault);

}

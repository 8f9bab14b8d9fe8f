#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::testbed {

// The JSON objects of the "data:" events of aBody; other events are skipped.
std::vector<boost::json::object>
StreamChunks(std::string_view aBody);

// The answer text that the events of aBody carry.
std::string
StreamText(std::string_view aBody);

}

#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace sycamore::ctl {

// Indented JSON with a final line break; arrays and objects without members stay on one line.
std::string
PrettyJson(const boost::json::value& aValue);

// PrettyJson of aText, or aText itself if it is not JSON.
std::string
PrettyJsonText(std::string_view aText);

}

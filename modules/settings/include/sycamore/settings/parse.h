#pragma once

#include "sycamore/base/error.h"
#include "sycamore/settings/settings.h"

#include <string_view>
#include <variant>
#include <vector>

namespace sycamore::settings {

// Parses and checks a settings file in full. Returns every fault, each with the path of its key in
// mField (e.g. "/targets/1/endpoint"); unknown keys are faults.
std::variant<Settings, std::vector<base::Error>>
Parse(std::string_view aJson);

}

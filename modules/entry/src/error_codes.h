#pragma once

#include "sycamore/base/error_kind.h"

#include <optional>
#include <string_view>

namespace sycamore::entry {

// The error kind with code aCode; nothing if there is none.
std::optional<base::ErrorKind>
KindOfCode(std::string_view aCode);

}

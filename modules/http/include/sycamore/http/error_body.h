#pragma once

#include "sycamore/base/error.h"

#include <optional>
#include <string>

namespace sycamore::http {

// The JSON body that callers receive for aError. aRun, if set, replaces what the answer table says
// of the execution.
std::string
ErrorBody(const base::Error& aError, std::optional<base::RunState> aRun = std::nullopt);

}

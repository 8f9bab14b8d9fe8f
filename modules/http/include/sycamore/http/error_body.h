#pragma once

#include "sycamore/base/error.h"

#include <string>

namespace sycamore::http {

// The JSON body that callers receive for aError.
std::string
ErrorBody(const base::Error& aError);

}

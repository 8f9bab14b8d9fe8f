#pragma once

#include "sycamore/base/clock.h"

#include <functional>

namespace sycamore::testbed {

// Repeats aCondition until it is true, every 20 ms. Returns false if it is still false after
// aLimit.
bool
WaitUntil(base::Millis aLimit, const std::function<bool()>& aCondition);

}

#pragma once

#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>

namespace sycamore::testbed {

struct LogSettings
{
  double mAppendsPerSecond = 500;            // All streams together; 0: no limit.
  size_t mRetainRecords = 0;                 // Per stream; 0: no limit.
  size_t mRetainBytes = size_t{ 256 } << 20; // Per stream; 0: no limit.
  base::Millis mRetainAge{ 0 };              // 0: no limit.
};

}

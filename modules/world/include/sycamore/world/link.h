#pragma once

#include "sycamore/base/clock.h"

#include <string>

namespace sycamore::world {

// The link between two regions, the same in both directions.
struct Link
{
  std::string mFrom;
  std::string mTo;
  base::Micros mDelay{ 0 }; // One way.
  double mCostPerMegabyte =
    0; // In milliseconds of latency that one megabyte is worth; for routing.
};

}

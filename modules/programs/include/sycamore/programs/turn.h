#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>

namespace sycamore::programs {

// A node of the history: programs branch where sub-agents continue the same turn.
struct Turn
{
  std::string mProgram;
  std::string mPrevious; // Empty at the start of a line.
  std::string mInput;
  std::string mOutput;
  std::string mReplica;       // Whose cache had the turn when it ended.
  base::Millis mExpires{ 0 }; // Time of day since 1970; later if a later turn continues this one.
};

}

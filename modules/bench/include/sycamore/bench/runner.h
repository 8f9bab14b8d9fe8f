#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/bench/mix.h"
#include "sycamore/bench/plan.h"
#include "sycamore/bench/run_record.h"
#include "sycamore/http/endpoint.h"

#include <functional>
#include <string_view>
#include <vector>

namespace sycamore::bench {

struct RunOptions
{
  std::vector<http::Endpoint> mEntries;
  base::Millis mCallDeadline{ 120000 };
  base::Millis mPatience{ 60000 }; // Of one call: after it, no further attempt is made.
  base::Millis mDrain{ 60000 };    // Programs that run longer after the last arrival are cut off.
  std::function<void(std::string_view)> mProgress; // A line every few seconds; may be empty.
};

// Carries out aPlan, which BuildPlan made of aMix, against running entries. Blocks.
RunRecord
RunPlan(const Mix& aMix, const std::vector<PlannedProgram>& aPlan, const RunOptions& aOptions);

}

#pragma once

#include "log_line.h"

#include <string>
#include <vector>

namespace sycamore::ctl {

// What the logs say of one request or program.
struct Explanation
{
  std::vector<LogLine> mLines;        // In the order of time.
  std::vector<std::string> mFindings; // What they mean and what to look at, one sentence each.
};

// Selects from aLines what bears on aId, the id of an attempt or of a program: its own lines, what
// happened to the replicas that it was sent to, and what the instances that handled it lost or
// learned a little earlier. Empty if no line names aId.
Explanation
Explain(std::vector<LogLine> aLines, const std::string& aId);

}

#pragma once

#include "log_line.h"

#include <string>
#include <vector>

namespace sycamore::ctl {

// What the logs tell about one request or program.
struct Explanation
{
  std::vector<LogLine> mLines;        // Ordered by time.
  std::vector<std::string> mFindings; // What they mean and what to look at, one sentence each.
};

// Selects from aLines those that concern aId, the id of an attempt or of a program: the lines with
// this id, the state changes of the replicas that it was sent to, and the earlier state changes of
// the instances that handled it. Empty if no line has this id.
Explanation
Explain(std::vector<LogLine> aLines, const std::string& aId);

}

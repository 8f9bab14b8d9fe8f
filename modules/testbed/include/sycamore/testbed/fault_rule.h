#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/testbed/fault_kind.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>

namespace sycamore::testbed {

// One fault, with the requests that it applies to.
struct FaultRule
{
  FaultKind mKind = FaultKind::Refuse;
  std::string mMethod;      // Empty: any.
  std::string mPath;        // Prefix of the path; empty: any.
  std::string mContains;    // Text that the body contains; empty: any.
  uint64_t mSkip = 0;       // Matching requests left alone first.
  uint64_t mCount = 0;      // Matching requests affected after that; 0: no limit.
  base::Millis mFor{ 0 };   // Duration from the control request on; 0: no limit.
  base::Millis mDelay{ 0 }; // Of Slow.
  int mStatus = 0;          // Of Refuse (default 503) and FailAfterRun (default 500).
  uint64_t mAfterParts = 0; // Of StallStream and TruncateStream.
};

// Parses one element of "faults" in a control request. Error: InvalidField.
base::Result<FaultRule>
ParseFaultRule(const boost::json::value& aValue);

}

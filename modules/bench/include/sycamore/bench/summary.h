#pragma once

#include "sycamore/bench/engine_reading.h"
#include "sycamore/bench/mix.h"
#include "sycamore/bench/run_record.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::bench {

// What a run is about.
struct RunTitle
{
  std::string mLabel; // Runs with one label are repetitions of each other.
  uint64_t mSeed = 0;
};

// The value below which aShare (0..1) of aValues lie, by the nearest rank; 0 without values.
double
Percentile(std::vector<double> aValues, double aShare);

// The results of a run as JSON: {"mix","label","seed","elapsed_s","accounts":[...],"total",
// "engines"}. docs/operations.md describes the members.
boost::json::object
Summarize(const Mix& aMix,
          const RunTitle& aTitle,
          const RunRecord& aRecord,
          const EngineReading& aBefore,
          const EngineReading& aAfter);

// The results as a table for people.
std::string
SummaryText(const boost::json::object& aSummary);

}

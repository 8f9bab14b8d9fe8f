#pragma once

#include "sycamore/bench/mix.h"
#include "sycamore/bench/run_record.h"

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamore::bench {

struct Series
{
  std::string mName;
  std::vector<std::pair<double, double>> mPoints; // Ascending in the first.
};

// A line chart as an SVG element with axes and legend.
std::string
LineChart(std::string_view aTitle,
          std::string_view aXLabel,
          std::string_view aYLabel,
          const std::vector<Series>& aSeries);

// One HTML page, without references to other files, with the charts and the text of a run.
std::string
ReportPage(const Mix& aMix, const RunRecord& aRecord, const boost::json::object& aSummary);

}

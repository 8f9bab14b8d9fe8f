#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace sycamore::bench {

// One metric of the runs of one label, as ratios to the mean of the first label.
struct Ratio
{
  std::string mMetric;
  std::string mLabel;
  size_t mRuns = 0;
  double mMean = 0; // Of the metric itself.
  double mRatio = 0;
  double mLeast = 0;
  double mGreatest = 0;
  bool mDistinct = false; // The ranges of this label and of the first do not overlap.
};

// Compares results of Summarize; runs with one label are repetitions. The first label is the base.
// Metrics that are 0 in the base are left out. Throws std::exception if a result is malformed.
std::vector<Ratio>
CompareRuns(const std::vector<boost::json::object>& aSummaries);

// The ratios as a table for people.
std::string
RatioText(const std::vector<Ratio>& aRatios);

}

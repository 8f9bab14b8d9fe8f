#pragma once

#include "sycamore/testbed/rate_limit.h"
#include "sycamore/testbed/standin.h"

#include <map>
#include <string>

namespace sycamore::testbed {

// The platform's weight store: grants slots at a limited rate and answers 429 beyond it.
class WeightsStandin : public Standin
{
public:
  WeightsStandin(double aSlotsPerSecond, double aBurst);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  double mSlotsPerSecond;
  double mBurst;
  RateLimit mLimit;
  std::map<std::string, uint64_t> mGranted; // By instance.
  std::map<std::string, uint64_t> mRefused; // By instance.
};

}

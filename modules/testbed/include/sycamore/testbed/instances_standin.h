#pragma once

#include "sycamore/testbed/standin.h"

#include <deque>
#include <utility>

namespace sycamore::testbed {

// The platform's instance list. Changes become visible after a settable lag.
class InstancesStandin : public Standin
{
public:
  // aInstances is visible at once.
  InstancesStandin(boost::json::array aInstances, base::Millis aLag);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  void ShowDue(base::TimePoint aNow);

  boost::json::array mVisible;
  boost::json::array mLatest; // With all accepted changes.
  std::deque<std::pair<base::TimePoint, boost::json::array>> mPending;
  base::Millis mLag;
  uint64_t mReads = 0;
};

}

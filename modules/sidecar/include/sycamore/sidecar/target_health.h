#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>

namespace sycamore::sidecar {

struct TargetHealthRules
{
  // One failed poll is often a restart of the connection; three in a row at 500 ms are 1.5 s.
  uint32_t mFailuresUntilDown = 3;
  // A target without polls (a tool) is tried again this long after a connect failure.
  base::Millis mRetryAfter{ 2000 };
};

// Whether one target takes work, judged from polls and calls.
class TargetHealth
{
public:
  explicit TargetHealth(const TargetHealthRules& aRules);

  void PollSucceeded();
  void PollFailed(base::TimePoint aNow);
  // A call could not connect; the target is down at once.
  void ConnectFailed(base::TimePoint aNow);
  // The target answered a call.
  void Answered();

  // aPolled: the target is polled, so that only a successful poll or call brings it up again.
  bool Up(bool aPolled, base::TimePoint aNow) const;

private:
  TargetHealthRules mRules;
  uint32_t mFailures = 0;
  bool mDown = false;
  base::TimePoint mDownSince;
};

}

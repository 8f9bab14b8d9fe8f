#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>

namespace sycamore::sidecar {

struct TargetHealthRules
{
  // A single failed poll is often only a reconnect. Three in a row, 500 ms apart, take 1.5 s.
  uint32_t mFailuresUntilDown = 3;
  // A target that is not polled (a tool) counts as up again this long after a connect failure.
  base::Millis mRetryAfter{ 2000 };
};

// Tracks from the results of polls and calls whether one target is up.
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

  // aPolled: the target is polled, so it counts as up again only after a successful poll or call.
  bool Up(bool aPolled, base::TimePoint aNow) const;

private:
  TargetHealthRules mRules;
  uint32_t mFailures = 0;
  bool mDown = false;
  base::TimePoint mDownSince;
};

}

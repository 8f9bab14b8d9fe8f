#pragma once

#include "sycamore/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::policy {

// Limits retries to a fraction of the requests of the last ten seconds, so that retries do not
// overload a failing back end.
class RetryBudget
{
public:
  // aRatio is the allowed number of retries per request.
  explicit RetryBudget(double aRatio = 0.1);

  void OnRequest(base::TimePoint aNow);

  // Counts a retry and returns true if the budget allows it.
  bool TryRetry(base::TimePoint aNow);

  // Retries allowed in any window, so that an entry with few requests can retry at all.
  static constexpr uint32_t kMinimum = 3;

private:
  static constexpr size_t kSlots = 10;

  struct Slot
  {
    int64_t mSecond = -1;
    uint32_t mRequests = 0;
    uint32_t mRetries = 0;
  };

  Slot& SlotAt(base::TimePoint aNow);

  double mRatio;
  std::array<Slot, kSlots> mSlots{};
};

}

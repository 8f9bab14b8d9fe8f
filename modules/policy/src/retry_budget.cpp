#include "sycamore/policy/retry_budget.h"

namespace sycamore::policy {

static int64_t
SecondOf(base::TimePoint aTime)
{
  return std::chrono::duration_cast<base::Seconds>(aTime.time_since_epoch()).count();
}

RetryBudget::RetryBudget(double aRatio)
  : mRatio(aRatio)
{
}

void
RetryBudget::OnRequest(base::TimePoint aNow)
{
  ++SlotAt(aNow).mRequests;
}

bool
RetryBudget::TryRetry(base::TimePoint aNow)
{
  const int64_t second = SecondOf(aNow);
  uint64_t requests = 0;
  uint64_t retries = 0;
  for (const Slot& slot : mSlots) {
    if (second - slot.mSecond < static_cast<int64_t>(kSlots)) {
      requests += slot.mRequests;
      retries += slot.mRetries;
    }
  }
  const double allowed = static_cast<double>(requests) * mRatio;
  if (retries >= kMinimum && static_cast<double>(retries) + 1 > allowed) {
    return false;
  }
  ++SlotAt(aNow).mRetries;
  return true;
}

RetryBudget::Slot&
RetryBudget::SlotAt(base::TimePoint aNow)
{
  const int64_t second = SecondOf(aNow);
  Slot& slot = mSlots[static_cast<size_t>(second) % kSlots];
  if (slot.mSecond != second) {
    slot = Slot{ second, 0, 0 };
  }
  return slot;
}

}

#include "call_slots.h"

#include <algorithm>

namespace sycamore::gateway {

CallSlots::Hold::Hold(CallSlots& aSlots, const std::string& aService)
  : mSlots(aSlots)
  , mService(aService)
  , mGranted(aSlots.Take(aService))
{
}

CallSlots::Hold::~Hold()
{
  if (!mGranted) {
    return;
  }
  --mSlots.mOpen;
  const auto service = mSlots.mOpenByService.find(mService);
  if (--service->second == 0) {
    mSlots.mOpenByService.erase(service);
  }
}

bool
CallSlots::Take(const std::string& aService)
{
  const size_t maxOfService = std::max<size_t>(mMax - mMax / 4, 1);
  const auto service = mOpenByService.find(aService);
  const size_t ofService = service == mOpenByService.end() ? 0 : service->second;
  if (mOpen >= mMax || ofService >= maxOfService) {
    return false;
  }
  ++mOpen;
  ++mOpenByService[aService];
  return true;
}

}

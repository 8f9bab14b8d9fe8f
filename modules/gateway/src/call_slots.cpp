#include "call_slots.h"

#include <algorithm>

namespace sycamore::gateway {

CallSlots::Hold::Hold(CallSlots& aSlots, const std::string& aService)
  : mOpen(aSlots.Take(aService))
  , mService(aService)
{
}

CallSlots::Hold::~Hold()
{
  if (!mOpen) {
    return;
  }
  --mOpen->mCalls;
  const auto service = mOpen->mByService.find(mService);
  if (--service->second == 0) {
    mOpen->mByService.erase(service);
  }
}

std::shared_ptr<CallSlots::Open>
CallSlots::Take(const std::string& aService)
{
  const size_t maxOfService = std::max<size_t>(mMax - mMax / 4, 1);
  const auto service = mOpen->mByService.find(aService);
  const size_t ofService = service == mOpen->mByService.end() ? 0 : service->second;
  if (mOpen->mCalls >= mMax || ofService >= maxOfService) {
    return nullptr;
  }
  ++mOpen->mCalls;
  ++mOpen->mByService[aService];
  return mOpen;
}

}

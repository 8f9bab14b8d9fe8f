#include "context.h"

namespace sycamore::gateway {

// Readiness fails after this time without the store: this process can complete no turn, but other
// gateways may still reach the store.
static constexpr base::Millis kStoreLostAfter{ 1000 };

bool
Context::Ready() const
{
  const bool storeLost = !mStore.Reachable() && mStore.SinceSuccess() > kStoreLostAfter;
  return mRoutes && mPrograms.Loaded() && !mStopping && !storeLost;
}

}

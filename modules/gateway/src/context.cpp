#include "context.h"

namespace sycamore::gateway {

// Without the store no turn can be completed; other gateways may still reach it.
static constexpr base::Millis kStoreLostAfter{ 1000 };

bool
Context::Ready() const
{
  const bool storeLost = !mStore.Reachable() && mStore.SinceSuccess() > kStoreLostAfter;
  return mRoutes && mPrograms.Loaded() && !mStopping && !storeLost;
}

}

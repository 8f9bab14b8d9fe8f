#include "context.h"

#include "sycamore/base/random.h"

#include <algorithm>

namespace sycamore::gateway {

// Followed by all gateways; see ProgramPartitions.
static constexpr uint32_t kStorePartitionsPerProgramPartition = 6;
// Read only where a text is known to be.
static constexpr uint32_t kStorePartitionsPerTextPartition = 3;

uint32_t
ProgramPartitions(uint32_t aStorePartitions)
{
  return std::max(aStorePartitions / kStorePartitionsPerProgramPartition, 1U);
}

uint32_t
TextPartition(uint32_t aStorePartitions, const std::string& aDomain)
{
  const uint32_t partitions = std::max(aStorePartitions / kStorePartitionsPerTextPartition, 1U);
  return static_cast<uint32_t>(base::StableHash(aDomain) % partitions);
}

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

#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>

namespace sycamore::capacity {

// Who calls the store for the programs' stream.
enum class Collection : uint8_t
{
  EachGateway, // Every gateway appends its own records and reads all partitions.
  Aggregators, // One gateway of each failure domain does so for the others.
};

// The gateways, spread evenly over failure domains, and these over regions. The store is in the
// first region.
struct FleetModel
{
  uint32_t mGateways = 127; // At least mDomains.
  uint32_t mDomains = 6;    // At least mRegions.
  uint32_t mRegions = 3;
  double mTurnsPerSecond = 5; // Of each gateway.
  // The completed turn, and one of a reservation, a settlement and the place of its text.
  double mRecordsPerTurn = 2;
  Collection mCollection = Collection::Aggregators;
};

// The store, as the site files of the deployments describe it.
struct StoreModel
{
  uint32_t mPartitions = 4;
  base::Millis mAppendTime{ 2 };     // A partition takes one append at a time.
  base::Millis mNearRoundTrip{ 6 };  // Of gateways in the store's region, the answer included.
  base::Millis mFarRoundTrip{ 70 };  // Of all others.
  double mReadBytesPerSecond = 80e6; // Of all reads together.
  uint32_t mRecordBytes = 125;
};

}

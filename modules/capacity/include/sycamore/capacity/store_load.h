#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/capacity/fleet_model.h"

#include <cstdint>

namespace sycamore::capacity {

// What the model shows.
struct StoreLoad
{
  double mTurns = 0; // Recorded.
  double mCallsPerTurn = 0;
  base::Millis mCommitMedian{
    0
  }; // From the time at which a record is handed in to its acknowledgement.
  base::Millis mCommitP95{ 0 };
  base::Millis mReadLagP95{ 0 }; // From the append of a record until a reader has it.
  double mReadShare = 0;         // Of the store's bandwidth; above 1 reads queue longer and longer.
};

// Simulates the calls of aFleet on the programs' stream for aDuration with a virtual clock, in
// steps of a millisecond. The same arguments give the same result. Turns arrive independently of
// the store's answers, as callers do in a burst.
StoreLoad
SimulateStoreLoad(const FleetModel& aFleet,
                  const StoreModel& aStore,
                  base::Millis aDuration,
                  uint64_t aSeed);

}

#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>

namespace sycamore::programs {

// Margin between times of day of two machines: their clocks differ by some seconds, and a client
// measures retention from the end of its answer.
constexpr base::Millis kClockSkewMargin{ 30000 };

// Time for which the budget of a program is kept after its last record. Longer than any retention
// that is configured today (60 s).
constexpr base::Millis kBudgetRetention{ 120000 };

// How the age of a record compares to the time for which the store keeps it.
enum class RecordAge : uint8_t
{
  Fresh,
  Aging,    // Should be appended again, so that it does not become Expiring.
  Expiring, // The store may drop it while it is still needed.
};

// The age at aNow of a record that was written at aWrittenAt and is needed for aNeeded after aNow.
// Times of day since 1970. aStoreRetention is the time for which the store keeps records; 0 if it
// is not known, which makes all records Fresh.
RecordAge
AgeOfRecord(base::Millis aWrittenAt,
            base::Millis aNow,
            base::Millis aNeeded,
            base::Millis aStoreRetention);

// Whether records that are needed for aNeeded can be kept available by appending them again when
// they are Expiring.
bool
CanBeKept(base::Millis aNeeded, base::Millis aStoreRetention);

}

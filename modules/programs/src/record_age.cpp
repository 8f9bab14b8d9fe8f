#include "sycamore/programs/record_age.h"

namespace sycamore::programs {

// Records younger than this part of the store's retention are not appended again: a store whose
// retention is too short would otherwise get the whole history with every turn.
static constexpr int kFreshPart = 4;

RecordAge
AgeOfRecord(base::Millis aWrittenAt,
            base::Millis aNow,
            base::Millis aNeeded,
            base::Millis aStoreRetention)
{
  const base::Millis part = aStoreRetention / kFreshPart;
  if (part <= base::Millis(0) || aNow - aWrittenAt < part) {
    return RecordAge::Fresh;
  }
  const base::Millis left = aWrittenAt + aStoreRetention - aNow;
  const base::Millis needed = aNeeded + kClockSkewMargin;
  if (left < needed) {
    return RecordAge::Expiring;
  }
  return left < needed + part ? RecordAge::Aging : RecordAge::Fresh;
}

bool
CanBeKept(base::Millis aNeeded, base::Millis aStoreRetention)
{
  return aNeeded + kClockSkewMargin <= aStoreRetention - aStoreRetention / kFreshPart;
}

}

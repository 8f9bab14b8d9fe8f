#include "object_affinity.h"

#include "sycamore/base/random.h"

#include <utility>

namespace sycamore::gateway {

void
MarkHome(std::string_view aObject, std::span<ReplicaView> aViews)
{
  const uint64_t object = base::StableHash(aObject);
  ReplicaView* home = nullptr;
  std::pair<bool, uint64_t> best;
  for (ReplicaView& view : aViews) {
    const std::pair rank(view.mSameRegion, base::MixHash(view.mIdHash, object));
    view.mAwayFromHome = true;
    if (home == nullptr || rank > best) {
      home = &view;
      best = rank;
    }
  }
  if (home != nullptr) {
    home->mAwayFromHome = false;
  }
}

}

#pragma once

#include "sycamore/gateway/replica_choice.h"

#include <span>
#include <string_view>

namespace sycamore::gateway {

// Marks all of aViews but one as away from the home of aObject. The home is the replica that
// rendezvous hashing of the object prefers among those of this process's region, or among all if
// the region has none. Gateways of a region agree on it without a word, also after a restart; a
// replica that joins or leaves moves only its own objects.
void
MarkHome(std::string_view aObject, std::span<ReplicaView> aViews);

}

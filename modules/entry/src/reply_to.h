#pragma once

#include "sycamore/transport/peer_event.h"

#include <compare>
#include <cstdint>

namespace sycamore::entry {

// Where the answer to a request goes: to a local caller, or to the entry that forwarded it.
struct ReplyTo
{
  transport::LinkId mLink = 0; // 0: local caller.
  uint64_t mRequest = 0;       // Id of the request at its origin.

  auto operator<=>(const ReplyTo&) const = default;
};

}

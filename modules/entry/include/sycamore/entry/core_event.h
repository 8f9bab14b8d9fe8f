#pragma once

#include "sycamore/base/result.h"
#include "sycamore/http/request.h"
#include "sycamore/ledger/ledger_event.h"
#include "sycamore/table/table_event.h"
#include "sycamore/transport/peer_event.h"
#include "sycamore/world/instance.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace sycamore::entry {

// A local caller closed its connection before the answer was complete.
struct RequestClosed
{
  uint64_t mRequest = 0;
};

// A reading of the platform's instance list.
struct InstancesRead
{
  base::Result<std::vector<world::Instance>> mInstances;
};

// Time has passed.
struct Tick
{};

// The process is to stop gracefully.
struct DrainRequested
{};

// Everything that the entry's state machine reacts to.
using CoreEvent = std::variant<http::Request,
                               RequestClosed,
                               transport::PeerEvent,
                               ledger::LedgerEvent,
                               table::TableEvent,
                               InstancesRead,
                               Tick,
                               DrainRequested>;

}

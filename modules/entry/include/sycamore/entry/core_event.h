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

// The platform's instance list as just read, or the error of that read.
struct InstancesRead
{
  base::Result<std::vector<world::Instance>> mInstances;
};

// The periodic timer event.
struct Tick
{};

// Requests a graceful shutdown.
struct DrainRequested
{};

// The input events of EntryCore.
using CoreEvent = std::variant<http::Request,
                               RequestClosed,
                               transport::PeerEvent,
                               ledger::LedgerEvent,
                               table::TableEvent,
                               InstancesRead,
                               Tick,
                               DrainRequested>;

}

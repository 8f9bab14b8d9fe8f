#pragma once

#include "call_registry.h"
#include "context.h"
#include "forwarder.h"
#include "history.h"
#include "partition_map.h"
#include "peers.h"
#include "program_registry.h"
#include "table_state.h"

#include <string>

namespace sycamore::entry {

// The state of an entry as JSON text, for operators.
std::string
DumpText(const Context& aContext,
         const PartitionMap& aPartitions,
         const Peers& aPeers,
         const CallRegistry& aCalls,
         const Forwarder& aForwarder,
         const History& aHistory,
         const TableState& aTable,
         const ProgramRegistry& aPrograms);

}

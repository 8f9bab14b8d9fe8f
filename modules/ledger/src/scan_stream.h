#pragma once

#include "sycamore/platform/log_client.h"
#include "sycamore/wire/codec.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamore::ledger {

using BatchVisitor = std::function<void(uint64_t aOffset, wire::LogBatchT aBatch)>;

// Calls aVisit for each batch of aStream from aFrom to the head, in order; records that are no
// batch are skipped. Returns the head's offset, or nothing if retention dropped records at or above
// aFrom before they were read. Error: LogUnavailable; batches visited before it stay visited.
base::Result<std::optional<uint64_t>>
ScanStream(platform::LogClient& aLog,
           const std::string& aStream,
           uint64_t aFrom,
           const BatchVisitor& aVisit);

// The batch at aOffset, or nothing if it is not retained or no batch.
base::Result<std::optional<wire::LogBatchT>>
ReadBatch(platform::LogClient& aLog, const std::string& aStream, uint64_t aOffset);

}

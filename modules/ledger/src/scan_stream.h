#pragma once

#include "sycamore/platform/log_client.h"
#include "sycamore/wire/codec.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamore::ledger {

using BatchVisitor = std::function<void(uint64_t aOffset, wire::LogBatchT aBatch)>;

// Calls aVisit for each batch of aStream from aFrom to the head, in order. Skips and logs records
// that do not decode as a batch. Returns the stream's next offset, or nothing if retention
// dropped records at or above aFrom before they were read. Error: LogUnavailable, possibly after
// some batches were visited.
base::Result<std::optional<uint64_t>>
ScanStream(platform::LogClient& aLog,
           const std::string& aStream,
           uint64_t aFrom,
           const BatchVisitor& aVisit);

// The batch at aOffset, or nothing if the record is not retained or does not decode as a batch.
base::Result<std::optional<wire::LogBatchT>>
ReadBatch(platform::LogClient& aLog, const std::string& aStream, uint64_t aOffset);

}

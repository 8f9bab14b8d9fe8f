#pragma once

#include "sycamore/programs/program_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::programs {

// Serializes aRecord for the stream.
std::string
EncodeRecord(const ProgramRecord& aRecord);

// Returns nothing if aBytes is not a valid record.
std::optional<ProgramRecord>
DecodeRecord(std::string_view aBytes);

// One record with the events of all aRecords, in their order; aRecords are encoded records. Its
// time is the latest of theirs.
std::string
JoinRecords(const std::vector<std::string>& aRecords);

}

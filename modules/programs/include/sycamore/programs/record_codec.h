#pragma once

#include "sycamore/programs/program_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::programs {

// The bytes of aRecord in the stream.
std::string
EncodeRecord(const ProgramRecord& aRecord);

// Returns nothing if aBytes is no valid record.
std::optional<ProgramRecord>
DecodeRecord(std::string_view aBytes);

}

#pragma once

#include "sycamore/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::base {

// Names one program: `<partition>-<creation offset>-<random hex>`. The offset is the head of the
// partition's stream known at creation; it tells an expired program from one that never existed.
struct ProgramId
{
  uint32_t mPartition = 0;
  uint64_t mCreationOffset = 0;
  uint64_t mRandom = 0;

  // clang-tidy 14 takes the literal 0 in uses of <=> for a null pointer.
  auto operator<=>(const ProgramId&) const = default; // NOLINT(modernize-use-nullptr)
};

// Text form of aId.
std::string
ToString(const ProgramId& aId);

// Parses the text form; ErrorKind::UnknownProgram if it is none.
Result<ProgramId>
ParseProgramId(std::string_view aText);

}

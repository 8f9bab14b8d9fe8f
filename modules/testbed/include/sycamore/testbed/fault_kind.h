#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamore::testbed {

// What a fault rule does to a request; docs/standin.md describes each.
enum class FaultKind : uint8_t
{
  Refuse,         // Answers mStatus at once; does not run.
  Hang,           // Never answers; does not run.
  Slow,           // Runs after mDelay.
  LoseAnswer,     // Runs; never answers.
  FailAfterRun,   // Runs; answers mStatus instead of the result.
  StallStream,    // Runs; sends mAfterParts parts of the answer and no more.
  TruncateStream, // Runs; ends the answer after mAfterParts parts.
};

// Name in control requests, e.g. "lose_answer".
std::string_view
FaultKindName(FaultKind aKind);

// The kind of a name; nothing if there is none.
std::optional<FaultKind>
ParseFaultKind(std::string_view aName);

}

#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/wire/frame_generated.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace sycamore::sidecar {

// Identity of a call within a sidecar. A non-idempotent call is identified by its key alone, so
// that a repeated key is recognised under another sequence number too.
struct CallKey
{
  base::ProgramId mProgram;
  uint32_t mSeq = 0; // 0 if mKey is set.
  std::string mKey;  // Empty for repeatable calls.

  auto operator<=>(const CallKey&) const = default;
};

CallKey
KeyOf(const wire::CallIdT& aId);

base::ProgramId
FromWire(const wire::ProgramT& aProgram);

std::unique_ptr<wire::ProgramT>
ToWire(const base::ProgramId& aProgram);

}

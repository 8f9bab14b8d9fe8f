#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/wire/codec.h"

#include <memory>

namespace sycamore::ledger {

inline base::ProgramId
FromWire(const wire::LogProgramT& aProgram)
{
  return { aProgram.partition, aProgram.creation_offset, aProgram.random };
}

inline std::unique_ptr<wire::LogProgramT>
ToWire(const base::ProgramId& aProgram)
{
  auto program = std::make_unique<wire::LogProgramT>();
  program->partition = aProgram.mPartition;
  program->creation_offset = aProgram.mCreationOffset;
  program->random = aProgram.mRandom;
  return program;
}

}

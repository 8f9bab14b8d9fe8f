#include "sycamore/sidecar/call_key.h"

namespace sycamore::sidecar {

CallKey
KeyOf(const wire::CallIdT& aId)
{
  CallKey key;
  key.mProgram = { aId.partition, aId.creation_offset, aId.random };
  key.mSeq = aId.key.empty() ? aId.seq : 0;
  key.mKey = aId.key;
  return key;
}

base::ProgramId
FromWire(const wire::ProgramT& aProgram)
{
  return { aProgram.partition, aProgram.creation_offset, aProgram.random };
}

std::unique_ptr<wire::ProgramT>
ToWire(const base::ProgramId& aProgram)
{
  auto program = std::make_unique<wire::ProgramT>();
  program->partition = aProgram.mPartition;
  program->creation_offset = aProgram.mCreationOffset;
  program->random = aProgram.mRandom;
  return program;
}

}

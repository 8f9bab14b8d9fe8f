#include "wire_ids.h"

namespace sycamore::entry {

template<typename Table>
static std::unique_ptr<Table>
Convert(const base::ProgramId& aId)
{
  auto table = std::make_unique<Table>();
  table->partition = aId.mPartition;
  table->creation_offset = aId.mCreationOffset;
  table->random = aId.mRandom;
  return table;
}

std::unique_ptr<wire::LogProgramT>
ToLog(const base::ProgramId& aId)
{
  return Convert<wire::LogProgramT>(aId);
}

std::unique_ptr<wire::ProgramT>
ToFrame(const base::ProgramId& aId)
{
  return Convert<wire::ProgramT>(aId);
}

base::ProgramId
FromFrame(const wire::ProgramT& aProgram)
{
  return { aProgram.partition, aProgram.creation_offset, aProgram.random };
}

std::unique_ptr<wire::CallIdT>
ToCallId(const base::ProgramId& aId, uint32_t aSeq, const std::string& aKey)
{
  auto call = Convert<wire::CallIdT>(aId);
  call->seq = aSeq;
  call->key = aKey;
  return call;
}

base::ProgramId
ProgramOf(const wire::CallIdT& aCall)
{
  return { aCall.partition, aCall.creation_offset, aCall.random };
}

}

#pragma once

#include "call_registry.h"
#include "commits.h"
#include "partition_map.h"
#include "program_registry.h"

#include <cstdint>
#include <functional>

namespace sycamore::entry {

// Appends the records of calls and tracks the budget tokens of records that are not folded.
class CallRecorder
{
public:
  // Called with the call after the fold accepted its record, if the call is still in progress.
  using Done = std::function<void(Call&)>;

  CallRecorder(CallRegistry& aCalls,
               Commits& aCommits,
               PartitionMap& aPartitions,
               ProgramRegistry& aPrograms);

  // Each returns false, and appends nothing, if the ledger's append queue is full or the partition
  // is not owned.

  // Raises the durable reservation of the call's program by aIncrease to aTokens.
  bool Reserve(Call& aCall, uint64_t aTokens, uint64_t aIncrease, Done aDone);

  // Appends an Intent record with the target and sidecar of aCall's attempt.
  bool Intent(Call& aCall, Done aDone);

  // Appends a Turn record, which settles the used tokens and reserves tokens for the program's next
  // call.
  bool Turn(Call& aCall, Done aDone);

  bool Outcome(Call& aCall, Done aDone);

private:
  bool Append(const Call& aCall, wire::LogEntryT aEntry, uint64_t aPending, Done aDone);

  CallRegistry& mCalls;
  Commits& mCommits;
  PartitionMap& mPartitions;
  ProgramRegistry& mPrograms;
};

}

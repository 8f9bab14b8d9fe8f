#pragma once

#include "call_book.h"
#include "commits.h"
#include "partition_map.h"
#include "program_book.h"

#include <cstdint>
#include <functional>

namespace sycamore::entry {

// Appends the records of calls and keeps the budget of records that are not folded.
class CallRecorder
{
public:
  // Called after the fold with the call, if it is still in progress.
  using Done = std::function<void(Call&)>;

  CallRecorder(CallBook& aCalls,
               Commits& aCommits,
               PartitionMap& aPartitions,
               ProgramBook& aPrograms);

  // Each returns false if the ledger has no room; nothing is appended then.

  // Raises the durable reservation of the call's program by aRise to aTokens.
  bool Reserve(Call& aCall, uint64_t aTokens, uint64_t aRise, Done aDone);

  // Names the target and sidecar of aCall's attempt.
  bool Intent(Call& aCall, Done aDone);

  // Settles the used tokens and reserves for the next call of the program.
  bool Turn(Call& aCall, Done aDone);

  bool Outcome(Call& aCall, Done aDone);

private:
  bool Append(const Call& aCall, wire::LogEntryT aEntry, uint64_t aPending, Done aDone);

  CallBook& mCalls;
  Commits& mCommits;
  PartitionMap& mPartitions;
  ProgramBook& mPrograms;
};

}

#pragma once

#include "program_log.h"
#include "sycamore/programs/program_registry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::gateway {

// All partitions of the programs' stream. The records of a program are in the partition that its id
// selects, which orders them; the store takes one append at a time for each partition, so that
// their number bounds the appends of all gateways together. A turn may continue one of another
// program, so that every gateway follows all partitions.
class ProgramLogs
{
public:
  // aPartitions is the same at all gateways, and at least 1. aFirstLoaded, modulo their number, is
  // the partition that is loaded first.
  ProgramLogs(const boost::asio::any_io_executor& aExecutor,
              LogStore& aStore,
              uint32_t aPartitions,
              uint64_t aFirstLoaded = 0);

  // Loads the history and follows each partition until the event loop ends. Those of aAtOnce, which
  // other gateways may wait for, are loaded first and together; the others one after the other.
  // After a loss of all gateways they share the store's bandwidth: each starts with another
  // partition, so that every program is soon served by some.
  boost::asio::awaitable<void> Run(std::set<uint32_t> aAtOnce = {});

  const programs::ProgramRegistry& Programs() const { return mPrograms; }

  // See ProgramRegistry.
  std::vector<std::string> TakeRefused() { return mPrograms.TakeRefused(); }

  // The partition of aProgram.
  ProgramLog& For(const std::string& aProgram);

  // Whether there is a partition aPartition; required by At.
  bool Has(uint32_t aPartition) const { return aPartition < mLogs.size(); }
  ProgramLog& At(uint32_t aPartition) { return *mLogs[aPartition]; }
  uint32_t PartitionCount() const { return static_cast<uint32_t>(mLogs.size()); }

  // Whether everything that was in all partitions when the process started has been applied.
  bool Loaded() const;

  // Whether the last call to the store failed, for any partition.
  bool Failing() const;

  // Time of day since 1970 as of which all records of all partitions have been applied; see
  // ProgramLog::CurrentAt.
  base::Millis CurrentAt() const;

  // Records applied, of all partitions.
  uint64_t AppliedRecords() const;

  // Applies all records that are in the partition of aProgram at the time of the call and, if aLast
  // or a turn before it is still unknown, those of the other partitions. Errors as
  // ProgramLog::CatchUp.
  boost::asio::awaitable<base::Result<base::Unit>> CatchUpWith(std::string aProgram,
                                                               std::string aLast,
                                                               base::TimePoint aDeadline);

private:
  // Forgets expired turns and programs, as of CurrentAt: a record that has not been read yet may
  // continue a turn that would expire by now.
  boost::asio::awaitable<void> Expire();
  boost::asio::awaitable<void> CatchUpOne(ProgramLog& aLog,
                                          base::TimePoint aDeadline,
                                          std::optional<base::Error>& aOutError);

  boost::asio::any_io_executor mExecutor;
  programs::ProgramRegistry mPrograms;
  std::vector<std::unique_ptr<ProgramLog>> mLogs; // By partition.
  uint64_t mFirstLoaded;
};

}

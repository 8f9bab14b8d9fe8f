#pragma once

#include "sycamore/ledger/partition_state.h"
#include "sycamore/platform/log_client.h"

#include <optional>
#include <string>

namespace sycamore::ledger {

// A partition's state at the head of its stream.
struct OpenedStream
{
  PartitionState mState;
  bool mHistoryLost = false;
};

// Reads partition streams. Belongs to one thread.
class StreamReader
{
public:
  explicit StreamReader(platform::LogClient& aLog);

  // Folds aStream from its newest retained checkpoint to its head. Error: LogUnavailable.
  base::Result<OpenedStream> Open(const std::string& aStream, uint32_t aPartition);

  // The LogTurn of aProgram and aSeq in the batch at aOffset; see Ledger::ReadTurn.
  base::Result<wire::LogTurnT> ReadTurn(const std::string& aStream,
                                        uint64_t aOffset,
                                        const base::ProgramId& aProgram,
                                        uint32_t aSeq);

private:
  base::Result<std::optional<OpenedStream>> TryOpen(const std::string& aStream,
                                                    uint32_t aPartition);
  base::Result<std::optional<PartitionState>> NamedCheckpoint(const std::string& aStream,
                                                              uint32_t aPartition,
                                                              const platform::LogPage& aLast);
  base::Result<std::optional<OpenedStream>> RecoverByScan(const std::string& aStream,
                                                          uint32_t aPartition,
                                                          uint64_t aFirst);
  base::Result<std::optional<OpenedStream>> FoldFrom(const std::string& aStream,
                                                     PartitionState aState);

  platform::LogClient& mLog;
};

}

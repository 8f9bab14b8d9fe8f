#pragma once

#include "sycamore/platform/log_client.h"
#include "sycamore/table/fold.h"

#include <memory>
#include <optional>
#include <string>

namespace sycamore::table {

// The config stream of the log, folded as far as it was read. Belongs to one thread.
class StreamReader
{
public:
  explicit StreamReader(std::unique_ptr<platform::LogClient> aLog);

  // Reads to the end of the stream. LogUnavailable if the log cannot be read, or the records left
  // in it do not tell the table.
  base::Result<base::Unit> CatchUp();

  // Appends aRecord; see LogClient::Append.
  base::Result<uint64_t> Append(const Record& aRecord);

  // Watches for the edit aId in later calls of CatchUp.
  void Await(std::string aId);

  // The first copy of the awaited edit, once read. Its verdict is final: later copies are refused.
  const std::optional<FoldedRecord>& Awaited() const { return mAwaited; }

  // Whether CatchUp read a snapshot since the last call.
  bool TakeSnapshotSeen();

  const Fold& State() const { return mFold; }

private:
  void Note(const std::vector<FoldedRecord>& aFolded);

  std::unique_ptr<platform::LogClient> mLog;
  Fold mFold;
  std::string mAwaitedId;
  std::optional<FoldedRecord> mAwaited;
  bool mSnapshotSeen = false;
};

}

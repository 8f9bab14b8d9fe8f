#pragma once

#include "sycamore/platform/log_client.h"
#include "sycamore/table/record.h"
#include "sycamore/table/table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::table {

enum class Verdict : uint8_t
{
  Accepted,
  Conflict,  // The base version is not the current one.
  Invalid,   // ValidateEdit refuses the edit.
  Malformed, // The record cannot be read.
  Snapshot,
};

// What became of one record.
struct FoldedRecord
{
  uint64_t mOffset = 0;
  Verdict mVerdict = Verdict::Malformed;
  std::string mId; // Of an edit; empty otherwise.

  bool operator==(const FoldedRecord&) const = default;
};

// The fold of the config stream: a function of the records and their offsets alone, so all readers
// of the stream agree. A reader that starts after the first record, or misses some, is incomplete
// until it reads a snapshot that covers the gap; its table then stays as it was before the gap.
//
// A copy of an edit that reaches the log late must not take effect again. Versions are offsets and
// never repeat, so a copy with a base version never matches. An edit that creates a row (base
// version 0) is refused if anything was deleted since its editor last read the stream.
class Fold
{
public:
  // Folds a page read from Next(). Records below Next() are ignored. Returns the verdicts, empty
  // while incomplete. ErrorKind::LogUnavailable if the stream ends before Next(): it is not the
  // stream that was read before.
  base::Result<std::vector<FoldedRecord>> Apply(const platform::LogPage& aPage);

  // The next offset to read.
  uint64_t Next() const { return mNext; }

  bool Complete() const { return mComplete; }

  const Table& Current() const { return mTable; }

  // The state as a record. Requires Complete().
  SnapshotRecord Snapshot() const;

private:
  void StartGap(uint64_t aFirst);
  void ApplyRecord(const platform::LogRecordData& aData, std::vector<FoldedRecord>& aOut);
  void TryComplete(const platform::LogRecordData& aData, std::vector<FoldedRecord>& aOut);
  FoldedRecord FoldOne(const platform::LogRecordData& aData);
  Verdict FoldEdit(uint64_t aOffset, const EditRecord& aRecord);
  void Change(const Edit& aEdit, uint64_t aVersion);

  Table mTable;
  uint64_t mLastDeletion = 0;
  uint64_t mNext = 0;
  bool mComplete = true;
  // Records since the gap, kept until a snapshot fills it.
  uint64_t mTailFirst = 0;
  std::vector<platform::LogRecordData> mTail;
};

}

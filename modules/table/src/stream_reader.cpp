#include "stream_reader.h"

#include <fmt/format.h>
#include <utility>

namespace sycamore::table {

static constexpr const char* kStream = "config";

// One page; a read stays short enough for the client's time-out.
static constexpr size_t kMaxRecords = 1000;
static constexpr size_t kMaxBytes = size_t{ 1 } << 20;

StreamReader::StreamReader(std::unique_ptr<platform::LogClient> aLog)
  : mLog(std::move(aLog))
{
}

base::Result<base::Unit>
StreamReader::CatchUp()
{
  for (;;) {
    const uint64_t from = mFold.Next();
    const auto page = mLog->Read(kStream, from, kMaxRecords, kMaxBytes);
    if (!base::IsOk(page)) {
      return base::ErrorOf(page);
    }
    const auto folded = mFold.Apply(base::ValueOf(page));
    if (!base::IsOk(folded)) {
      return base::ErrorOf(folded);
    }
    Note(base::ValueOf(folded));
    if (mFold.Next() >= base::ValueOf(page).mNext) {
      break;
    }
    if (mFold.Next() == from) {
      return base::Error{ base::ErrorKind::LogUnavailable,
                          fmt::format("the log returned no record at offset {}", from),
                          "" };
    }
  }
  if (!mFold.Complete()) {
    return base::Error{ base::ErrorKind::LogUnavailable,
                        "the config stream has lost records that no snapshot covers yet; an entry "
                        "that still has the table will append one",
                        "" };
  }
  return base::Unit{};
}

void
StreamReader::Note(const std::vector<FoldedRecord>& aFolded)
{
  for (const FoldedRecord& record : aFolded) {
    mSnapshotSeen = mSnapshotSeen || record.mVerdict == Verdict::Snapshot;
    if (!mAwaited && !mAwaitedId.empty() && record.mId == mAwaitedId) {
      mAwaited = record;
    }
  }
}

base::Result<uint64_t>
StreamReader::Append(const Record& aRecord)
{
  return mLog->Append(kStream, EncodeRecord(aRecord));
}

void
StreamReader::Await(std::string aId)
{
  mAwaitedId = std::move(aId);
  mAwaited.reset();
}

bool
StreamReader::TakeSnapshotSeen()
{
  return std::exchange(mSnapshotSeen, false);
}

}

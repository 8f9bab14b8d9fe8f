#include "scan_stream.h"

#include "sycamore/base/log.h"

namespace sycamore::ledger {

using base::Error;
using base::ErrorKind;
using base::IsOk;
using base::Result;
using platform::LogPage;

// Limits of one read. A batch holds about 1 MB, but one with a checkpoint may be larger.
static constexpr size_t kPageRecords = 256;
static constexpr size_t kPageBytes = size_t{ 16 } << 20;

static void
Visit(const std::string& aStream,
      const platform::LogRecordData& aRecord,
      const BatchVisitor& aVisit)
{
  Result<wire::LogBatchT> batch = wire::DecodeBatch(aRecord.mData);
  if (IsOk(batch)) {
    aVisit(aRecord.mOffset, base::TakeValue(std::move(batch)));
    return;
  }
  base::Log(
    base::LogEvent::BatchIgnored, "{} offset {} is not a log batch", aStream, aRecord.mOffset);
}

Result<std::optional<uint64_t>>
ScanStream(platform::LogClient& aLog,
           const std::string& aStream,
           uint64_t aFrom,
           const BatchVisitor& aVisit)
{
  uint64_t next = aFrom;
  for (;;) {
    const Result<LogPage> read = aLog.Read(aStream, next, kPageRecords, kPageBytes);
    if (!IsOk(read)) {
      return base::ErrorOf(read);
    }
    const LogPage& page = base::ValueOf(read);
    if (page.mFirst > next) {
      return std::optional<uint64_t>();
    }
    for (const auto& record : page.mRecords) {
      Visit(aStream, record, aVisit);
      next = record.mOffset + 1;
    }
    if (next >= page.mNext) {
      return std::optional<uint64_t>(next);
    }
    if (page.mRecords.empty()) {
      return Error{ ErrorKind::LogUnavailable, "the log returned no record below its head", "" };
    }
  }
}

Result<std::optional<wire::LogBatchT>>
ReadBatch(platform::LogClient& aLog, const std::string& aStream, uint64_t aOffset)
{
  const Result<LogPage> read = aLog.Read(aStream, aOffset, 1, kPageBytes);
  if (!IsOk(read)) {
    return base::ErrorOf(read);
  }
  const LogPage& page = base::ValueOf(read);
  if (page.mRecords.empty() || page.mRecords.front().mOffset != aOffset) {
    return std::optional<wire::LogBatchT>();
  }
  Result<wire::LogBatchT> batch = wire::DecodeBatch(page.mRecords.front().mData);
  if (!IsOk(batch)) {
    return std::optional<wire::LogBatchT>();
  }
  return std::optional<wire::LogBatchT>(base::TakeValue(std::move(batch)));
}

}

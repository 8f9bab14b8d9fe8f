#include "batch_writer.h"

#include "scan_stream.h"

#include <algorithm>

namespace sycamore::ledger {

using base::ErrorKind;
using base::IsOk;
using base::Result;

BatchWriter::BatchWriter(platform::LogClient& aLog, std::atomic<uint64_t>& aAppendsSent)
  : mLog(aLog)
  , mAppendsSent(aAppendsSent)
{
}

WriteStep
BatchWriter::Write(const std::string& aStream, uint64_t aNext, OutstandingBatch& aOut)
{
  WriteStep step;
  step.mNext = aNext;
  if (aOut.mMayBeInLog) {
    if (!ReadBack(aStream, aOut, step) || step.mDone || step.Supersedes(aOut)) {
      return step;
    }
    aOut.mMayBeInLog = false;
  }
  Append(aStream, aOut, step);
  if (!step.mDone && aOut.mMayBeInLog) {
    ReadBack(aStream, aOut, step);
  }
  return step;
}

void
BatchWriter::Append(const std::string& aStream, OutstandingBatch& aOut, WriteStep& aStep)
{
  ++mAppendsSent;
  const Result<uint64_t> appended = mLog.Append(aStream, wire::EncodeBatch(*aOut.mBatch));
  if (!IsOk(appended)) {
    aStep.mError = base::ErrorOf(appended);
    aOut.mMayBeInLog = aStep.mError->mKind != ErrorKind::LogUnavailable;
    return;
  }
  aOut.mMayBeInLog = true;
  // The batch follows directly on the last one read, so there is nothing else to read back.
  if (base::ValueOf(appended) == aStep.mNext) {
    aStep.mFound.push_back({ aStep.mNext, aOut.mBatch, true });
    ++aStep.mNext;
    aStep.mDone = true;
  }
}

static bool
SameId(const wire::LogBatchT& aLeft, const wire::LogBatchT& aRight)
{
  return aLeft.epoch == aRight.epoch && aLeft.incarnation == aRight.incarnation &&
         aLeft.sequence == aRight.sequence;
}

static bool
IsClaim(const wire::LogBatchT& aBatch)
{
  return std::any_of(aBatch.entries.begin(), aBatch.entries.end(), [](const auto& aEntry) {
    return aEntry->record.AsLogClaim() != nullptr;
  });
}

// Reads from aStep.mNext to the head. Returns false if that failed; whether aOut is in the log is
// then still unknown.
bool
BatchWriter::ReadBack(const std::string& aStream, const OutstandingBatch& aOut, WriteStep& aStep)
{
  const auto scanned =
    ScanStream(mLog, aStream, aStep.mNext, [&](uint64_t aOffset, wire::LogBatchT aBatch) {
      const bool own = !aStep.mDone && SameId(aBatch, *aOut.mBatch);
      if (IsClaim(aBatch) && aBatch.incarnation != aOut.mBatch->incarnation) {
        aStep.mForeignClaim = std::max(aStep.mForeignClaim, aBatch.epoch);
      }
      aStep.mFound.push_back(
        { aOffset, std::make_shared<const wire::LogBatchT>(std::move(aBatch)), own });
      aStep.mNext = aOffset + 1;
      aStep.mDone = aStep.mDone || own;
    });
  if (!IsOk(scanned)) {
    aStep.mError = base::ErrorOf(scanned);
    return false;
  }
  aStep.mTruncated = !base::ValueOf(scanned).has_value();
  aStep.mNext = base::ValueOf(scanned).value_or(aStep.mNext);
  if (!aStep.mTruncated) {
    aStep.mError.reset();
  }
  return !aStep.mTruncated;
}

}

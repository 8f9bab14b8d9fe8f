#pragma once

#include "sycamore/platform/log_client.h"
#include "sycamore/wire/codec.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::ledger {

// A batch that was not yet read back from the log. (epoch, incarnation, sequence) identifies it.
struct OutstandingBatch
{
  std::shared_ptr<const wire::LogBatchT> mBatch;
  std::vector<uint64_t> mOperationIds;
  size_t mBytes = 0;
  // An append of it may have taken effect, so the stream must be read back before it is repeated.
  bool mMayBeInLog = false;
};

// A batch found in the log.
struct FoundBatch
{
  uint64_t mOffset = 0;
  std::shared_ptr<const wire::LogBatchT> mBatch;
  bool mOwn = false; // The first copy of the outstanding batch.
};

// The result of one attempt to write an outstanding batch.
struct WriteStep
{
  std::vector<FoundBatch> mFound; // All batches read from the given offset on, in order.
  uint64_t mNext = 0;             // The first offset not read.
  bool mDone = false;             // The outstanding batch is among mFound.
  bool mTruncated = false;        // Retention dropped records that were not read.
  uint64_t mForeignClaim = 0;     // Highest epoch that another process claims among mFound.
  std::optional<base::Error> mError;

  // Whether a claim of another process was found that ends aOut's epoch. aOut itself may lie before
  // that claim.
  bool Supersedes(const OutstandingBatch& aOut) const
  {
    const bool claiming = aOut.mBatch->sequence == 0;
    return mForeignClaim > aOut.mBatch->epoch ||
           (claiming && !mDone && mForeignClaim == aOut.mBatch->epoch);
  }
};

// Appends batches and reads them back. Belongs to one thread.
// Spec: spec/ownership.pml (append_step).
class BatchWriter
{
public:
  BatchWriter(platform::LogClient& aLog, std::atomic<uint64_t>& aAppendsSent);

  // Makes one attempt to append aOut to aStream, of which everything below aNext was read. Never
  // appends while an earlier append of aOut may be in the unread part, or after reading a newer
  // claim.
  WriteStep Write(const std::string& aStream, uint64_t aNext, OutstandingBatch& aOut);

private:
  bool ReadBack(const std::string& aStream, const OutstandingBatch& aOut, WriteStep& aStep);
  void Append(const std::string& aStream, OutstandingBatch& aOut, WriteStep& aStep);

  platform::LogClient& mLog;
  std::atomic<uint64_t>& mAppendsSent;
};

}

#pragma once

#include "partition_log.h"
#include "stream_reader.h"
#include "sycamore/ledger/ledger.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace sycamore::ledger {

// The state shared by the two threads. The mutex is never held during a log request or a call of
// the sink.
class Ledger::Impl
{
public:
  Impl(const LedgerSettings& aSettings,
       uint64_t aIncarnation,
       std::function<std::unique_ptr<platform::LogClient>()> aMakeClient,
       std::function<bool(LedgerEvent)> aSink);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Open(uint32_t aPartition);
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId);
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId);
  void Abandon(uint32_t aPartition);
  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aOperationId);
  void SetLivePartitions(uint32_t aCount);
  void SetCheckpoint(uint32_t aPartition, uint64_t aOffset);
  size_t PendingBytes() const;
  uint64_t AppendsSent() const;
  void Stop();

private:
  struct OpenJob
  {
    uint32_t mPartition = 0;
    uint64_t mGeneration = 0;
    int mFailures = 0;
  };
  struct TurnJob
  {
    uint32_t mPartition = 0;
    uint64_t mOffset = 0;
    base::ProgramId mProgram;
    uint32_t mSeq = 0;
    uint64_t mOperationId = 0;
  };
  struct ReadJob
  {
    base::TimePoint mNotBefore;
    std::variant<OpenJob, TurnJob> mJob;
  };
  // One attempt to write a batch, made without the lock.
  struct WriteJob
  {
    uint32_t mPartition = 0;
    uint64_t mGeneration = 0;
    uint64_t mNextOffset = 0;
    std::shared_ptr<OutstandingBatch> mOut;
  };

  using Lock = std::unique_lock<std::mutex>;

  // ledger.cpp
  void ResetLocked(PartitionLog& aLog);
  bool Deliver(uint32_t aPartition, uint64_t aGeneration, const LedgerEvent& aEvent);
  bool Current(uint32_t aPartition, uint64_t aGeneration) const;
  base::Millis Backoff(int aFailures) const;

  // ledger_writer.cpp
  void RunWriter();
  std::optional<WriteJob> NextWriteLocked(Lock& aLock);
  std::optional<uint32_t> DuePartitionLocked(base::TimePoint& aWake) const;
  void FormBatchLocked(uint32_t aPartition, PartitionLog& aLog);
  void FinishWrite(const WriteJob& aJob, const WriteStep& aStep);
  void UpdateLocked(PartitionLog& aLog, const WriteJob& aJob, const WriteStep& aStep);
  void ReportError(const WriteJob& aJob, const std::string& aMessage);
  void CloseIncomplete(const WriteJob& aJob, const char* aMessage);
  base::Millis Window() const;

  // ledger_reader.cpp
  void RunReader();
  std::optional<ReadJob> NextRead();
  void RunOpen(StreamReader& aReader, OpenJob aJob);
  void RunTurn(StreamReader& aReader, const TurnJob& aJob);
  void RetryOpen(OpenJob aJob, const base::Error& aError);

  const LedgerSettings mSettings;
  const uint64_t mIncarnation;
  const std::function<std::unique_ptr<platform::LogClient>()> mMakeClient;
  const std::function<bool(LedgerEvent)> mSink;
  std::atomic<uint64_t> mAppendsSent{ 0 };

  mutable std::mutex mMutex;
  std::condition_variable mWriterWake;
  std::condition_variable mReaderWake;
  std::map<uint32_t, PartitionLog> mPartitions;
  std::vector<ReadJob> mReads;
  size_t mPendingBytes = 0;
  uint32_t mLivePartitions = 1;
  bool mStopping = false;

  // Locked before mMutex. Makes the check of the generation and the call of the sink atomic, so
  // that no event from before an Open follows its PartitionOpened.
  std::mutex mSinkMutex;
  std::thread mWriter;
  std::thread mReader;
};

}

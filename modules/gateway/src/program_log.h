#pragma once

#include "async.h"
#include "record_writer.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/programs/program_record.h"
#include "sycamore/programs/program_registry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Follows one partition of the programs' stream, applies each record to a registry, and appends to
// the partition. Lives on one event loop.
class ProgramLog
{
public:
  // The registry is shared by all partitions. aPartitions is their number: the more there are, the
  // longer a reader waits between two reads of each.
  ProgramLog(const boost::asio::any_io_executor& aExecutor,
             LogStore& aStore,
             programs::ProgramRegistry& aPrograms,
             uint32_t aPartition = 0,
             uint32_t aPartitions = 1);

  // Loads the history, then follows the stream until the event loop ends.
  boost::asio::awaitable<void> Run();

  const programs::ProgramRegistry& Programs() const { return mPrograms; }

  // Whether everything that was in the stream when the process started has been applied.
  bool Loaded() const { return mLoaded; }

  uint32_t Partition() const { return mStream.mPartition; }

  // Offset of the next record to apply.
  uint64_t NextOffset() const { return mNext; }

  // Time of day since 1970 as of which all records of the partition have been applied; 0 before the
  // history is loaded. Lags behind while the store cannot be read, and after a freeze.
  base::Millis CurrentAt() const { return mLoaded ? mCurrentAt : base::Millis(0); }

  // Whether the last call to the store failed.
  bool Failing() const { return mFailing; }

  // Applies all records that are in the stream at the time of the call. LogUnavailable if the store
  // does not answer before aDeadline, or while the history is being loaded.
  boost::asio::awaitable<base::Result<base::Unit>> CatchUp(base::TimePoint aDeadline);

  // Appends aEvent; returns its offset once the store has it. Tries again until aDeadline, since a
  // record that is appended twice has the effect of one. Errors as RecordWriter::Append.
  boost::asio::awaitable<base::Result<uint64_t>> Append(programs::ProgramEvent aEvent,
                                                        base::TimePoint aDeadline);

  // The same for several events, which are applied together. At least one.
  boost::asio::awaitable<base::Result<uint64_t>> Append(std::vector<programs::ProgramEvent> aEvents,
                                                        base::TimePoint aDeadline);

  // Appends an event in the background, some time before aDeadline. For events whose loss is
  // harmless.
  void AppendDeferred(programs::ProgramEvent aEvent, base::TimePoint aDeadline);

  // Waits until the record at aOffset and all before it are applied; ends the pause before the next
  // read. False if that did not happen before aDeadline.
  boost::asio::awaitable<bool> WaitApplied(uint64_t aOffset, base::TimePoint aDeadline);

  // Waits until any record is applied, or until aDeadline.
  boost::asio::awaitable<void> WaitForChange(base::TimePoint aDeadline);

  // Reads from the copy of the newest records that this process keeps, on behalf of another
  // gateway. From then on, and for some seconds, this process reads the store itself and more
  // often. Waits for records and reads the store as aRange says, until aDeadline at most.
  // LogUnavailable if records before the copy are asked for, or if a fresh answer is not possible.
  LogStore::Async<StreamPage> ReadShared(ReadRange aRange, base::TimePoint aDeadline);

  // Sets how many bytes of records are kept for ReadShared.
  void SetKeptBytes(size_t aBytes) { mMaxKeptBytes = aBytes; }

  // Applies records that this process has just appended, if they follow those that are applied.
  void ApplyAppended(uint64_t aOffset, const std::vector<std::string>& aRecords);

private:
  struct StreamSegment;

  // Reads the known length of the stream in concurrent segments.
  boost::asio::awaitable<void> LoadInParallel();
  boost::asio::awaitable<void> ReadSegment(StreamSegment& aSegment);
  boost::asio::awaitable<void> Follow();
  void ApplyRecords(const std::vector<StreamRecord>& aRecords);
  void ApplyPage(const StreamPage& aPage);
  void ApplyRecord(uint64_t aOffset, const std::string& aBytes);
  boost::asio::awaitable<base::Result<base::Unit>> ReadOnce(ReadRange aRange,
                                                            base::Millis aTimeout);
  boost::asio::awaitable<base::Result<base::Unit>> ReadToEnd(base::TimePoint aDeadline);
  void Keep(const std::string& aBytes);
  void DropKept(uint64_t aNext);
  // Whether other gateways read from this process.
  bool IsShared() const;
  // What to read next while the history is loaded.
  ReadRange NextLoadRange() const;

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  programs::ProgramRegistry& mPrograms;
  const StreamId mStream;
  const base::Millis mReadInterval;
  uint64_t mNext = 0; // Offset of the next record to apply.
  uint64_t mEnd = 0;  // End of the stream as of the last page.
  base::Millis mCurrentAt{ 0 };
  // Reads by CatchUp are numbered from 1. One runs at a time and serves all waiters.
  uint64_t mCatchUpsStarted = 0;
  uint64_t mCatchUpsEnded = 0;
  uint64_t mLastSuccessfulCatchUp = 0; // 0 if none.
  std::deque<std::string> mKept;       // The records before mNext, for ReadShared.
  size_t mKeptBytes = 0;
  size_t mMaxKeptBytes = 0;
  base::TimePoint mSharedUntil; // End of the time in which other gateways are expected to read.
  bool mLoaded = false;
  bool mFailing = false;
  bool mLastPageShared = false;  // The last page came from another gateway.
  base::TimePoint mLastProgress; // When a page last brought records, or came from the store.
  Signal mApplied;               // Notified each time mNext advances.
  Signal mWake;                  // Ends the pause before the next read.
  bool mReadWanted = false;
  RecordWriter mWriter;
};

}

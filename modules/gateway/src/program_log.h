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
#include <cstdint>
#include <vector>

namespace sycamore::gateway {

// The programs' stream as this process sees it: follows the stream, applies each record to the
// book, and appends. Lives on one event loop.
class ProgramLog
{
public:
  ProgramLog(const boost::asio::any_io_executor& aExecutor, LogStore& aStore);

  // Loads the history, then follows the stream for good.
  boost::asio::awaitable<void> Run();

  const programs::ProgramRegistry& Programs() const { return mPrograms; }

  // Whether everything that was in the stream when the process started has been applied.
  bool Loaded() const { return mLoaded; }

  // Offset of the next record to apply.
  uint64_t NextOffset() const { return mNext; }

  // Whether the last call to the store failed.
  bool Failing() const { return mFailing; }

  // Applies all records that are in the stream at the time of the call. LogUnavailable if the store
  // does not answer before aDeadline, or while the history is being loaded.
  boost::asio::awaitable<base::Result<base::Unit>> CatchUp(base::TimePoint aDeadline);

  // Appends aEvent; returns its offset once the store has it. Tries again until aDeadline, since a
  // record that is appended twice has the effect of one. Errors as RecordWriter::Append.
  boost::asio::awaitable<base::Result<uint64_t>> Append(programs::ProgramEvent aEvent,
                                                        base::TimePoint aDeadline);

  // Appends an event that nobody waits for and whose loss is harmless, some time before aDeadline.
  void AppendLater(programs::ProgramEvent aEvent, base::TimePoint aDeadline);

  // Waits until the record at aOffset and all before it are applied. False if that did not happen
  // before aDeadline.
  boost::asio::awaitable<bool> WaitApplied(uint64_t aOffset, base::TimePoint aDeadline);

private:
  struct Part;

  // Reads the parts of the stream that are known to exist side by side.
  boost::asio::awaitable<void> LoadSplit();
  boost::asio::awaitable<void> ReadPart(Part& aPart);
  boost::asio::awaitable<void> Follow();
  void ApplyRecords(const std::vector<StreamRecord>& aRecords);
  void ApplyPage(const StreamPage& aPage);
  void ApplyRecord(uint64_t aOffset, const std::string& aBytes);
  boost::asio::awaitable<base::Result<base::Unit>> ReadOnce(ReadRange aRange,
                                                            base::Millis aTimeout);
  boost::asio::awaitable<base::Result<base::Unit>> ReadToEnd(base::TimePoint aDeadline);
  void ApplyAppended(uint64_t aOffset, const std::vector<std::string>& aRecords);

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  programs::ProgramRegistry mPrograms;
  uint64_t mNext = 0; // Offset of the next record to apply.
  uint64_t mEnd = 0;  // Of the stream, as the last page told.
  // Reads by CatchUp are numbered from 1; one runs at a time and serves all that wait for it.
  uint64_t mFreshStarted = 0;
  uint64_t mFreshEnded = 0;
  uint64_t mFreshDone = 0; // The last one that succeeded.
  bool mLoaded = false;
  bool mFailing = false;
  Signal mApplied; // Each time mNext advances.
  RecordWriter mWriter;
};

}

#pragma once

#include "async.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/log_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Appends records to a stream in batches, since the store takes a fixed time for each call,
// whatever its size. A failed call is repeated, so that a record may appear twice in the stream.
// Lives on one event loop.
class RecordWriter
{
public:
  // Runs after each successful call whose records were not joined with those of others, with the
  // offset of its first record, before the waiters of that call resume.
  using AppendedHandler = std::function<void(uint64_t, const std::vector<std::string>&)>;

  // Combines the records of a batch into one record of the stream.
  using Joiner = std::function<std::string(const std::vector<std::string>&)>;

  // How records are collected into calls.
  struct Limits
  {
    // Records that arrive within this time are sent in one call.
    base::Millis mBatchDelay{ 25 };
    uint32_t mMaxInFlight = 1;   // Calls at the same time.
    size_t mMaxRecords = 100000; // Of one call.
  };

  // Without aJoin, each record becomes a record of the stream.
  RecordWriter(const boost::asio::any_io_executor& aExecutor,
               LogStore& aStore,
               StreamId aStream,
               AppendedHandler aOnAppended,
               Joiner aJoin,
               Limits aLimits);

  // Appends aRecord; returns its offset. LogUnavailable if it is certain that the record was not
  // appended before aDeadline, OutcomeUnknown if it may have been, or may still be.
  boost::asio::awaitable<base::Result<uint64_t>> Append(std::string aRecord,
                                                        base::TimePoint aDeadline);

  // Appends aRecord with the next batch, or after a short time in a batch of its own. Gives up at
  // aDeadline, which is logged: no caller sees the result.
  void AppendDeferred(std::string aRecord, base::TimePoint aDeadline);

private:
  // A queued record; shared by the caller and the batch that carries it.
  struct Pending
  {
    explicit Pending(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    std::string mRecord;
    base::TimePoint mDeadline;
    bool mIsAwaited = true; // By a caller of Append, which gets the result.
    bool mDone = false;
    bool mMayBeAppended = false;
    uint64_t mOffset = 0;
    std::string mFailure; // Error of the last call that carried it.
    Signal mChanged;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr MakePending(std::string aRecord, base::TimePoint aDeadline) const;
  void StartSender();
  boost::asio::awaitable<void> FlushDeferred();
  boost::asio::awaitable<void> RunBatches();
  boost::asio::awaitable<bool> SendBatch(std::vector<PendingPtr> aBatch);
  std::vector<PendingPtr> TakeBatch();

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  StreamId mStream;
  AppendedHandler mOnAppended;
  Joiner mJoin;
  const Limits mLimits;
  std::deque<PendingPtr> mQueue;
  std::deque<PendingPtr> mDeferred; // Sent with the next batch.
  uint32_t mSenders = 0;            // Instances of RunBatches; only they send.
  uint32_t mCollecting = 0;         // Those that wait for records before their next call.
};

}

#pragma once

#include "async.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/log_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Appends records to a stream, several with one call where they wait together: the store takes a
// fixed time for each call, whatever its size. A call that fails is repeated, so that a record may
// appear twice in the stream. Lives on one event loop.
class RecordWriter
{
public:
  // aOnAppended runs for each call that succeeded, with the offset of its first record, before
  // those that wait for it continue.
  using AppendedHandler = std::function<void(uint64_t, const std::vector<std::string>&)>;

  // Makes one record of several that go with one call.
  using Joiner = std::function<std::string(const std::vector<std::string>&)>;

  // Without aJoin each record is one of the stream.
  RecordWriter(const boost::asio::any_io_executor& aExecutor,
               LogStore& aStore,
               StreamName aStream,
               AppendedHandler aOnAppended,
               Joiner aJoin = nullptr);

  // Appends aRecord; returns its offset. LogUnavailable if it is certain that the record was not
  // appended before aDeadline, OutcomeUnknown if it may have been, or may still be.
  boost::asio::awaitable<base::Result<uint64_t>> Append(std::string aRecord,
                                                        base::TimePoint aDeadline);

  // Appends aRecord with the next call, or after a short time with one of its own. Nobody learns
  // whether that happened before aDeadline.
  void AppendLater(std::string aRecord, base::TimePoint aDeadline);

private:
  // A record on its way; shared by the caller and the batch that carries it.
  struct Pending
  {
    explicit Pending(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    std::string mRecord;
    base::TimePoint mDeadline;
    bool mDone = false;
    bool mMayBeAppended = false;
    uint64_t mOffset = 0;
    std::string mFailure; // Of the last call that carried it.
    Signal mChanged;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr MakePending(std::string aRecord, base::TimePoint aDeadline) const;
  void StartSender();
  boost::asio::awaitable<void> FlushLater();
  boost::asio::awaitable<void> RunBatches();
  boost::asio::awaitable<bool> SendBatch(std::vector<PendingPtr> aBatch);
  std::vector<PendingPtr> TakeBatch();

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  StreamName mStream;
  AppendedHandler mOnAppended;
  Joiner mJoin;
  std::deque<PendingPtr> mQueue;
  std::deque<PendingPtr> mLater; // Travel with the next batch.
  bool mSending = false;         // RunBatches is under way; it is the only one that sends.
};

}

#pragma once

#include "async.h"
#include "sycamore/gateway/log_store.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <string>
#include <vector>

namespace sycamore::gateway {

// An in-memory log that can fail in the ways that the platform's log does.
class FakeLogStore : public LogStore
{
public:
  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis /*aTimeout*/) override
  {
    ++mAppends;
    mMostAppendsAtOnce = std::max(mMostAppendsAtOnce, ++mAppendsNow);
    co_await SleepFor(mLatency);
    --mAppendsNow;
    if (mDown) {
      co_return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
    }
    auto& stream = mStreams[aStream];
    const uint64_t offset = stream.size();
    stream.insert(stream.end(), aRecords.begin(), aRecords.end());
    if (mLostAnswers > 0) {
      --mLostAnswers;
      co_return base::Error{ base::ErrorKind::OutcomeUnknown, "no answer", "" };
    }
    co_return Appended{ offset };
  }

  Async<Appended> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override
  {
    std::vector<std::string> records{ aKey + "=" + aValue };
    return Append(aStream, std::move(records), aTimeout);
  }

  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis /*aTimeout*/) override
  {
    ++mReads;
    mLongestWait = std::max(mLongestWait, aRange.mWait);
    co_await SleepFor(mLatency);
    if (mDown) {
      co_return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
    }
    const auto& stream = mStreams[aStream];
    StreamPage page;
    page.mExpired = mExpired;
    page.mEnd = stream.size();
    page.mNext = aRange.mFrom;
    if (const uint64_t first = mFirstKept[aStream]; aRange.mFrom < first) {
      page.mExpired = true;
      page.mNext = first;
      co_return page;
    }
    size_t bytes = 0;
    while (page.mNext < page.mEnd && page.mRecords.size() < mMaxRecordsPerPage &&
           bytes < size_t{ aRange.mMaxKilobytes } << 10) {
      StreamRecord record{ page.mNext, "", stream[page.mNext] };
      bytes += stream[page.mNext].size();
      page.mRecords.push_back(std::move(record));
      ++page.mNext;
    }
    co_return page;
  }

  Async<StreamSnapshot> Newest(StreamId /*aStream*/, base::Millis /*aTimeout*/) override
  {
    co_await SleepFor(mLatency);
    if (mDown) {
      co_return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
    }
    co_return StreamSnapshot{};
  }

  std::map<StreamId, std::vector<std::string>> mStreams;
  std::map<StreamId, uint64_t> mFirstKept; // Offset before which records were dropped.
  base::Millis mLatency{ 1 };
  size_t mMaxRecordsPerPage = 10; // Records of one answer.
  bool mDown = false;
  bool mExpired = false; // Reads find that records before them were dropped.
  int mLostAnswers = 0;  // Appends that take effect without an answer.
  int mAppends = 0;
  int mAppendsNow = 0; // Under way.
  int mMostAppendsAtOnce = 0;
  int mReads = 0;
  base::Millis mLongestWait{ 0 }; // That a read asked for.
};

}

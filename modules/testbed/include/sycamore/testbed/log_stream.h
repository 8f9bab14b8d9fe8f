#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/testbed/log_settings.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace sycamore::testbed {

// The retained records of one stream of the log.
class LogStream
{
public:
  struct Record
  {
    base::TimePoint mAppended;
    std::string mData;
  };

  // Returns the offset of the new record.
  uint64_t Append(std::string_view aData, base::TimePoint aNow);

  // Drops what the retention limits exclude. The last record is always kept by the limits on bytes
  // and records, not by the limit on age.
  void Retain(const LogSettings& aSettings, base::TimePoint aNow);

  // Drops the records below aOffset.
  void Truncate(uint64_t aOffset);

  uint64_t First() const { return mFirst; }
  uint64_t Next() const { return mFirst + mRecords.size(); }
  size_t Bytes() const { return mBytes; }

  // The record at aOffset, which lies in [First, Next).
  const Record& At(uint64_t aOffset) const { return mRecords.at(aOffset - mFirst); }

private:
  void DropFirst();

  uint64_t mFirst = 0;
  size_t mBytes = 0;
  std::deque<Record> mRecords;
};

}

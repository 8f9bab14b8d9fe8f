#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::platform {

struct LogRecordData
{
  uint64_t mOffset = 0;
  std::string mData;
};

// A run of records of one stream.
struct LogPage
{
  uint64_t mFirst = 0; // The first retained offset.
  uint64_t mNext = 0;  // The offset that the next append gets, if no other comes before it.
  std::vector<LogRecordData> mRecords;
};

// The platform's append-only log. Calls block; an instance belongs to one thread.
class LogClient
{
public:
  virtual ~LogClient() = default;

  // Appends aData and returns its offset. Errors: LogUnavailable if the append surely did not take
  // effect; Uncommitted if it may have (lost answer, time-out).
  virtual base::Result<uint64_t> Append(const std::string& aStream, std::string_view aData) = 0;

  // Reads from aFrom, or from the first retained offset if that is higher. A stream that does not
  // exist is empty. Error: LogUnavailable.
  virtual base::Result<LogPage> Read(const std::string& aStream,
                                     uint64_t aFrom,
                                     size_t aMaxRecords,
                                     size_t aMaxBytes) = 0;

  // Reads the last record only. Error: LogUnavailable.
  virtual base::Result<LogPage> ReadLast(const std::string& aStream) = 0;
};

}

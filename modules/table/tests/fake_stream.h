#pragma once

#include "sycamore/platform/log_client.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::table {

// One stream of a log, in memory.
class FakeStream
{
public:
  uint64_t Append(std::string aData)
  {
    mRecords.push_back({ mNext, std::move(aData) });
    return mNext++;
  }

  platform::LogPage Read(uint64_t aFrom, size_t aMaxRecords) const
  {
    platform::LogPage page;
    page.mFirst = mFirst;
    page.mNext = mNext;
    for (const platform::LogRecordData& record : mRecords) {
      if (record.mOffset >= aFrom && page.mRecords.size() < aMaxRecords) {
        page.mRecords.push_back(record);
      }
    }
    return page;
  }

  // Drops all records below aFirst.
  void Truncate(uint64_t aFirst)
  {
    mFirst = std::clamp(aFirst, mFirst, mNext);
    std::erase_if(mRecords, [this](const auto& aRecord) { return aRecord.mOffset < mFirst; });
  }

  uint64_t Next() const { return mNext; }

private:
  uint64_t mFirst = 0;
  uint64_t mNext = 0;
  std::vector<platform::LogRecordData> mRecords;
};

}

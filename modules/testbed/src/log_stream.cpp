#include "sycamore/testbed/log_stream.h"

namespace sycamore::testbed {

uint64_t
LogStream::Append(std::string_view aData, base::TimePoint aNow)
{
  mRecords.push_back(Record{ aNow, std::string(aData) });
  mBytes += aData.size();
  return Next() - 1;
}

void
LogStream::Retain(const LogSettings& aSettings, base::TimePoint aNow)
{
  while (aSettings.mRetainRecords > 0 && mRecords.size() > aSettings.mRetainRecords) {
    DropFirst();
  }
  while (aSettings.mRetainBytes > 0 && mBytes > aSettings.mRetainBytes && mRecords.size() > 1) {
    DropFirst();
  }
  const bool limitsAge = aSettings.mRetainAge > base::Millis(0);
  while (limitsAge && !mRecords.empty() &&
         aNow - mRecords.front().mAppended > aSettings.mRetainAge) {
    DropFirst();
  }
}

void
LogStream::Truncate(uint64_t aOffset)
{
  while (!mRecords.empty() && mFirst < aOffset) {
    DropFirst();
  }
}

void
LogStream::DropFirst()
{
  mBytes -= mRecords.front().mData.size();
  mRecords.pop_front();
  ++mFirst;
}

}

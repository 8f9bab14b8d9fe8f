#include "fake_log.h"

#include <algorithm>

namespace sycamore::ledger::testing {

using base::Error;
using base::ErrorKind;
using base::Result;
using platform::LogPage;
using Lock = std::lock_guard<std::mutex>;

class FakeLogClient : public platform::LogClient
{
public:
  explicit FakeLogClient(FakeLog& aLog)
    : mLog(aLog)
  {
  }

  Result<uint64_t> Append(const std::string& aStream, std::string_view aData) override
  {
    return mLog.Append(aStream, aData);
  }

  Result<LogPage> Read(const std::string& aStream,
                       uint64_t aFrom,
                       size_t aMaxRecords,
                       size_t /*aMaxBytes*/) override
  {
    return mLog.Read(aStream, aFrom, aMaxRecords, false);
  }

  Result<LogPage> ReadLast(const std::string& aStream) override
  {
    return mLog.Read(aStream, 0, 1, true);
  }

private:
  FakeLog& mLog;
};

void
FakeLog::PlanAppends(std::vector<AppendFault> aFaults)
{
  const Lock lock(mMutex);
  mFaults.assign(aFaults.begin(), aFaults.end());
}

void
FakeLog::SetReadsFail(bool aFail)
{
  const Lock lock(mMutex);
  mReadsFail = aFail;
}

void
FakeLog::SetAppendsFail(bool aFail)
{
  const Lock lock(mMutex);
  mAppendsFail = aFail;
}

void
FakeLog::DeliverLate()
{
  const Lock lock(mMutex);
  for (auto& [stream, data] : mLate) {
    Store(stream, std::move(data));
  }
  mLate.clear();
}

uint64_t
FakeLog::AppendForeign(const std::string& aStream, const std::string& aData)
{
  const Lock lock(mMutex);
  return Store(aStream, aData);
}

void
FakeLog::Truncate(const std::string& aStream, uint64_t aFirst)
{
  const Lock lock(mMutex);
  mStreams[aStream].mFirst = aFirst;
}

std::vector<std::string>
FakeLog::Records(const std::string& aStream) const
{
  const Lock lock(mMutex);
  const auto found = mStreams.find(aStream);
  return found != mStreams.end() ? found->second.mRecords : std::vector<std::string>();
}

uint64_t
FakeLog::Reads() const
{
  const Lock lock(mMutex);
  return mReads;
}

std::unique_ptr<platform::LogClient>
FakeLog::MakeClient()
{
  return std::make_unique<FakeLogClient>(*this);
}

Result<uint64_t>
FakeLog::Append(const std::string& aStream, std::string_view aData)
{
  const Lock lock(mMutex);
  AppendFault fault = mAppendsFail ? AppendFault::Refused : AppendFault::None;
  if (!mAppendsFail && !mFaults.empty()) {
    fault = mFaults.front();
    mFaults.pop_front();
  }
  switch (fault) {
    case AppendFault::None:
      return Store(aStream, std::string(aData));
    case AppendFault::Refused:
      return Error{ ErrorKind::LogUnavailable, "refused", "" };
    case AppendFault::LostEffect:
      Store(aStream, std::string(aData));
      break;
    case AppendFault::LostEffectLate:
      mLate.emplace_back(aStream, std::string(aData));
      break;
    case AppendFault::LostNoEffect:
      break;
  }
  return Error{ ErrorKind::Uncommitted, "answer lost", "" };
}

Result<LogPage>
FakeLog::Read(const std::string& aStream, uint64_t aFrom, size_t aMaxRecords, bool aLast)
{
  const Lock lock(mMutex);
  ++mReads;
  if (mReadsFail) {
    return Error{ ErrorKind::LogUnavailable, "down", "" };
  }
  const Stream& stream = mStreams[aStream];
  LogPage page;
  page.mFirst = stream.mFirst;
  page.mNext = stream.mRecords.size();
  const uint64_t from = aLast && page.mNext > 0 ? page.mNext - 1 : aFrom;
  for (uint64_t offset = std::max(from, page.mFirst);
       offset < page.mNext && page.mRecords.size() < aMaxRecords;
       ++offset) {
    page.mRecords.push_back({ offset, stream.mRecords.at(offset) });
  }
  return page;
}

uint64_t
FakeLog::Store(const std::string& aStream, std::string aData)
{
  Stream& stream = mStreams[aStream];
  stream.mRecords.push_back(std::move(aData));
  return stream.mRecords.size() - 1;
}

}

#include "measured_store.h"

#include <utility>

namespace sycamore::gateway {

using base::Millis;

MeasuredStore::MeasuredStore(std::unique_ptr<LogStore> aStore, Metrics& aMetrics)
  : mStore(std::move(aStore))
  , mMetrics(aMetrics)
{
}

void
MeasuredStore::Note(StoreCall aCall, base::TimePoint aBegin)
{
  aCall.mTook = std::chrono::duration_cast<Millis>(base::Clock::now() - aBegin);
  mMetrics.NoteStoreCall(aCall);
}

static size_t
BytesOf(const std::vector<StreamRecord>& aRecords)
{
  size_t bytes = 0;
  for (const StreamRecord& record : aRecords) {
    bytes += record.mValue ? record.mValue->size() : 0;
  }
  return bytes;
}

LogStore::Async<uint64_t>
MeasuredStore::Append(StreamName aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  const base::TimePoint begin = base::Clock::now();
  StoreCall call{ StoreOperation::Append, aStream };
  for (const std::string& record : aRecords) {
    call.mBytesSent += record.size();
  }
  auto result = co_await mStore->Append(aStream, std::move(aRecords), aTimeout);
  call.mSucceeded = base::IsOk(result);
  Note(call, begin);
  co_return result;
}

LogStore::Async<uint64_t>
MeasuredStore::Put(StreamName aStream, std::string aKey, std::string aValue, Millis aTimeout)
{
  const base::TimePoint begin = base::Clock::now();
  StoreCall call{ StoreOperation::Put, aStream };
  call.mBytesSent = aKey.size() + aValue.size();
  auto result = co_await mStore->Put(aStream, std::move(aKey), std::move(aValue), aTimeout);
  call.mSucceeded = base::IsOk(result);
  Note(call, begin);
  co_return result;
}

LogStore::Async<StreamPage>
MeasuredStore::Read(StreamName aStream, ReadRange aRange, Millis aTimeout)
{
  const base::TimePoint begin = base::Clock::now();
  StoreCall call{ StoreOperation::Read, aStream };
  auto result = co_await mStore->Read(aStream, aRange, aTimeout);
  call.mSucceeded = base::IsOk(result);
  call.mBytesRead = call.mSucceeded ? BytesOf(base::ValueOf(result).mRecords) : 0;
  Note(call, begin);
  co_return result;
}

LogStore::Async<StreamSnapshot>
MeasuredStore::Newest(StreamName aStream, Millis aTimeout)
{
  const base::TimePoint begin = base::Clock::now();
  StoreCall call{ StoreOperation::Newest, aStream };
  auto result = co_await mStore->Newest(aStream, aTimeout);
  call.mSucceeded = base::IsOk(result);
  call.mBytesRead = call.mSucceeded ? BytesOf(base::ValueOf(result).mRecords) : 0;
  Note(call, begin);
  co_return result;
}

}

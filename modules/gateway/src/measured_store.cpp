#include "measured_store.h"

#include "elapsed.h"

#include <utility>

namespace sycamore::gateway {

using base::Millis;

MeasuredStore::MeasuredStore(std::unique_ptr<LogStore> aStore, Metrics& aMetrics)
  : mStore(std::move(aStore))
  , mMetrics(aMetrics)
{
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

static size_t
BytesReadBy(const Appended& /* aAppended */)
{
  return 0;
}

static size_t
BytesReadBy(const StreamPage& aPage)
{
  return BytesOf(aPage.mRecords);
}

static size_t
BytesReadBy(const StreamSnapshot& aSnapshot)
{
  return BytesOf(aSnapshot.mRecords);
}

template<typename T>
LogStore::Async<T>
MeasuredStore::Measure(StoreCall aCall, Async<T> aOperation)
{
  const base::TimePoint begin = base::Clock::now();
  auto result = co_await std::move(aOperation);
  aCall.mSucceeded = base::IsOk(result);
  aCall.mBytesRead = aCall.mSucceeded ? BytesReadBy(base::ValueOf(result)) : 0;
  aCall.mTook = Since(begin);
  mMetrics.NoteStoreCall(aCall);
  co_return result;
}

LogStore::Async<Appended>
MeasuredStore::Append(StreamId aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  StoreCall call{ StoreOperation::Append, aStream.mName };
  for (const std::string& record : aRecords) {
    call.mBytesSent += record.size();
  }
  return Measure(call, mStore->Append(aStream, std::move(aRecords), aTimeout));
}

LogStore::Async<Appended>
MeasuredStore::Put(StreamId aStream, std::string aKey, std::string aValue, Millis aTimeout)
{
  StoreCall call{ StoreOperation::Put, aStream.mName };
  call.mBytesSent = aKey.size() + aValue.size();
  return Measure(call, mStore->Put(aStream, std::move(aKey), std::move(aValue), aTimeout));
}

LogStore::Async<StreamPage>
MeasuredStore::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  const StoreCall call{ StoreOperation::Read, aStream.mName };
  return Measure(call, mStore->Read(aStream, aRange, aTimeout));
}

LogStore::Async<StreamSnapshot>
MeasuredStore::Newest(StreamId aStream, Millis aTimeout)
{
  const StoreCall call{ StoreOperation::Newest, aStream.mName };
  return Measure(call, mStore->Newest(aStream, aTimeout));
}

}

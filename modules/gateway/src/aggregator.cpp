#include "aggregator.h"

#include "sycamore/programs/record_codec.h"

#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// Records of the failure domain that arrive within this time share an append: the store charges and
// delays each call, whatever its size.
static constexpr Millis kBatchDelay{ 20 };
// A second append starts while the first one is on its way to a remote region, which takes 70 ms.
static constexpr uint32_t kAppendsInFlight = 2;

static base::Error
NotServed()
{
  return { ErrorKind::LogUnavailable, "not served by the aggregator", "" };
}

Aggregator::Aggregator(const boost::asio::any_io_executor& aExecutor,
                       LogStore& aStore,
                       ProgramLogs& aLogs)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mLogs(aLogs)
{
}

bool
Aggregator::Serves(StreamId aStream) const
{
  return aStream.mName == StreamName::Texts ||
         (aStream.mName == StreamName::Programs && mLogs.Has(aStream.mPartition));
}

RecordWriter&
Aggregator::WriterOf(StreamId aStream)
{
  auto& writer = mWriters[aStream];
  if (!writer) {
    RecordWriter::AppendedHandler onAppended = [](uint64_t, const std::vector<std::string>&) {};
    RecordWriter::Joiner join;
    if (aStream.mName == StreamName::Programs) {
      ProgramLog& log = mLogs.At(aStream.mPartition);
      onAppended = [&log](uint64_t aOffset, const std::vector<std::string>& aRecords) {
        log.ApplyAppended(aOffset, aRecords);
      };
      join = programs::JoinRecords;
    }
    const RecordWriter::Limits limits{ kBatchDelay, kAppendsInFlight };
    writer = std::make_unique<RecordWriter>(
      mExecutor, mStore, aStream, std::move(onAppended), std::move(join), limits);
  }
  return *writer;
}

LogStore::Async<Appended>
Aggregator::Append(StreamId aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  const bool isPrograms = aStream.mName == StreamName::Programs;
  if (!Serves(aStream) || aRecords.empty() || (!isPrograms && aRecords.size() > 1)) {
    co_return NotServed();
  }
  for (const std::string& record : aRecords) {
    if (isPrograms && !programs::DecodeRecord(record)) {
      co_return base::Error{ ErrorKind::LogUnavailable, "malformed record", "" };
    }
  }
  std::string record =
    aRecords.size() == 1 ? std::move(aRecords.front()) : programs::JoinRecords(aRecords);
  const base::TimePoint deadline = base::Clock::now() + aTimeout;
  const auto offset = co_await WriterOf(aStream).Append(std::move(record), deadline);
  if (!base::IsOk(offset)) {
    co_return base::ErrorOf(offset);
  }
  co_return Appended{ base::ValueOf(offset), isPrograms };
}

LogStore::Async<StreamPage>
Aggregator::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  if (aStream.mName != StreamName::Programs || !Serves(aStream)) {
    co_return NotServed();
  }
  const base::TimePoint deadline = base::Clock::now() + aTimeout;
  co_return co_await mLogs.At(aStream.mPartition).ReadShared(aRange, deadline);
}

LogStore::Async<Appended>
Aggregator::Put(StreamId /* aStream */,
                std::string /* aKey */,
                std::string /* aValue */,
                Millis /* aTimeout */)
{
  co_return NotServed();
}

LogStore::Async<StreamSnapshot>
Aggregator::Newest(StreamId /* aStream */, Millis /* aTimeout */)
{
  co_return NotServed();
}

}

#pragma once

#include "program_logs.h"
#include "record_writer.h"
#include "sycamore/gateway/log_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Serves the calls of the gateways of a failure domain on the partitions that this gateway
// aggregates: their records go to the store in common appends, and their reads are answered from
// the copy that this gateway follows. The store's work thus depends on the number of failure
// domains and not on the number of gateways. No gateway owns a partition: a call that fails here is
// made on another path, and records are idempotent. Lives on one event loop.
class Aggregator : public LogStore
{
public:
  // aStore is a path to the store that uses no aggregator, so that calls never form a loop.
  Aggregator(const boost::asio::any_io_executor& aExecutor, LogStore& aStore, ProgramLogs& aLogs);

  // Streams of programs and texts only; one record a call in the stream of texts.
  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;

  // The programs' stream only.
  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;

  // Not served: LogUnavailable.
  Async<Appended> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override;
  Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

private:
  // Whether calls on aStream are served.
  bool Serves(StreamId aStream) const;
  RecordWriter& WriterOf(StreamId aStream);

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  ProgramLogs& mLogs;
  std::map<StreamId, std::unique_ptr<RecordWriter>> mWriters;
};

}

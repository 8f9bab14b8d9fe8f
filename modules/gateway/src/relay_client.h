#pragma once

#include "sycamore/gateway/log_store.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/wire/store_relay_generated.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <vector>

namespace sycamore::gateway {

// Accesses the store through another gateway. Each call has a connection of its own, which is
// reused after a complete answer.
class RelayClient : public LogStore
{
public:
  RelayClient(const boost::asio::any_io_executor& aExecutor, http::Endpoint aPeer);

  Async<uint64_t> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<uint64_t> Put(StreamId aStream,
                      std::string aKey,
                      std::string aValue,
                      base::Millis aTimeout) override;
  Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) override;
  Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) override;

private:
  using Connection = std::unique_ptr<boost::beast::tcp_stream>;

  // ConnectionLost if the peer cannot be reached, OutcomeUnknown once the call was sent. A failure
  // that the peer reports is part of the response.
  Async<wire::RelayResponseT> Call(wire::RelayRequestT aRequest, base::Millis aTimeout);
  Async<Connection> Connect(base::TimePoint aDeadline);

  boost::asio::any_io_executor mExecutor;
  http::Endpoint mPeer;
  std::vector<Connection> mIdle;
};

}

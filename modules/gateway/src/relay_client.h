#pragma once

#include "sycamore/accounts/usage_row.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/wire/store_relay_generated.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Accesses the store through another gateway. Each call has a connection of its own, which is
// reused after a complete answer.
class RelayClient : public LogStore
{
public:
  // What the peer does with a call.
  enum class Mode : uint8_t
  {
    Relay,     // Makes it on its own path to the store.
    Aggregate, // Serves it as the aggregator of the partition.
  };

  RelayClient(const boost::asio::any_io_executor& aExecutor,
              http::Endpoint aPeer,
              Mode aMode = Mode::Relay);

  // The record of the text of a turn, if the peer has it in memory. Errors as of a read.
  Async<std::optional<std::string>> Text(std::string aAttempt, base::Millis aTimeout);

  // Facts for the peer, and what is asked of it.
  struct FactsRequest
  {
    std::vector<std::string> mRecords; // To tell; if there are any, nothing is asked.
    uint64_t mEpoch = 0;               // Of the peer's facts, as last heard.
    uint64_t mFrom = 0;                // Number of the first fact that is asked for.
    base::Millis mWait{ 0 };           // For news.
  };

  struct FactsAnswer
  {
    std::vector<std::string> mRecords;
    uint64_t mEpoch = 0;
    uint64_t mNext = 0; // Number to go on from.
  };

  // Exchanges facts; see FactExchange. Errors as of a read.
  Async<FactsAnswer> Facts(FactsRequest aRequest, base::Millis aTimeout);

  // The demand of accounts at a gateway, or at all gateways of a failure domain.
  struct UsageRequest
  {
    std::string mSender; // The gateway or failure domain.
    bool mOfDomain = false;
    uint64_t mEpoch = 0;          // Identifies the reporting process.
    bool mFull = false;           // All of it, not only what has changed.
    base::Millis mCountsFor{ 0 }; // How long that process has counted requests.
    accounts::UsageRows mRows;
  };

  struct UsageAnswer
  {
    bool mComplete = false; // The peer has all of the demand.
    // For a gateway, the requests elsewhere. For a failure domain, what the peer keeps of it; see
    // UsageTotals::KeptOf.
    accounts::UsageRows mRows;
    base::Millis mKnowledgeAge{ 0 }; // See UsageTotals.
  };

  // Reports demand; see UsageExchange. Errors as of a read.
  Async<UsageAnswer> Usage(UsageRequest aRequest, base::Millis aTimeout);

  // Ends all calls in progress at once, as if their connections were lost.
  void Abort();

  Async<Appended> Append(StreamId aStream,
                         std::vector<std::string> aRecords,
                         base::Millis aTimeout) override;
  Async<Appended> Put(StreamId aStream,
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
  wire::RelayRequestT RequestOf(wire::RelayOperation aOperation, StreamId aStream) const;

  boost::asio::any_io_executor mExecutor;
  http::Endpoint mPeer;
  Mode mMode;
  std::vector<Connection> mIdle;
  std::set<boost::beast::tcp_stream*> mBusy; // Of calls in progress, which own them.
};

}

#pragma once

#include "member.h"
#include "relay_client.h"
#include "sycamore/base/clock.h"
#include "sycamore/gateway/log_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Which aggregator of the own failure domain serves a partition, and whether it answers. A call
// never waits for an aggregator that has failed: a probe in the background finds out when it is
// back. Lives on one event loop.
class AggregatorPaths
{
public:
  // An aggregator: another gateway, or this one.
  struct Path
  {
    LogStore& Store() { return mLocal != nullptr ? *mLocal : *mRemote; }

    std::string mInstance;
    http::Endpoint mPeer;
    LogStore* mLocal = nullptr; // Of this gateway.
    std::unique_ptr<RelayClient> mRemote;
    uint32_t mFailures = 0;     // Since the last call that succeeded; not used while there are any.
    base::TimePoint mNextProbe; // While failing.
  };

  // aOwn is this gateway.
  AggregatorPaths(const boost::asio::any_io_executor& aExecutor, Member aOwn);

  // Sets the gateways of the deployment; this one is added.
  void SetMembers(const std::vector<Member>& aMembers);

  // Sets what serves the partitions that this gateway aggregates. aLocal outlives this object.
  void SetLocal(LogStore& aLocal);

  // The aggregator of aStream; null if there is none, or none that answers.
  std::shared_ptr<Path> For(StreamId aStream);

  // Whether this gateway is an aggregator of aStream, or the first to replace it.
  bool IsCandidate(StreamId aStream);

  void NoteSuccess(Path& aPath);

  // aSilent: the aggregator did not answer, so that its other calls will not be answered either.
  void NoteFailure(Path& aPath, bool aSilent);

  // Probes aggregators that have failed until the event loop ends.
  boost::asio::awaitable<void> Run();

private:
  const std::vector<std::string>& Ranked(StreamId aStream);

  boost::asio::any_io_executor mExecutor;
  const Member mOwn;
  std::vector<Member> mMembers;                         // Of the own failure domain.
  std::map<StreamId, std::vector<std::string>> mRanked; // Instances; cleared by SetMembers.
  std::map<std::string, std::shared_ptr<Path>> mPaths;  // By instance.
};

}

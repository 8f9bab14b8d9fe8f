#pragma once

#include "call_outcome.h"
#include "sycamore/base/clock.h"
#include "sycamore/gateway/log_store.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Operations of the store that are counted.
enum class StoreOperation : uint8_t
{
  Append,
  Put,
  Read,
  Newest,
};

// One call to the store.
struct StoreCall
{
  StoreOperation mOperation = StoreOperation::Append;
  StreamName mStream = StreamName::Programs;
  bool mSucceeded = false;
  base::Millis mTook{ 0 }; // Includes the wait that a read asked for.
  size_t mBytesSent = 0;   // Of records and values.
  size_t mBytesRead = 0;
};

// Values that are sampled when the metrics are scraped.
struct Gauges
{
  uint64_t mConfigurationVersion = 0; // 0 while none is known.
  base::Millis mConfigurationAge{ 0 };
  base::Millis mReplicaListAge{ 0 };
  size_t mReplicas = 0;
  size_t mLimitedReplicas = 0; // That name a request limit.
  size_t mBarredRequests = 0;  // That have crashed the replicas which began them.
  size_t mAccounts = 0;        // In the configuration.
  size_t mCountedAccounts = 0; // With requests in the window of quotas, here or elsewhere.
  size_t mFacts = 0;           // Own ones and those of other gateways.
  size_t mPrograms = 0;
  size_t mTurns = 0;
  size_t mTextBytes = 0;    // Of the texts of turns in memory.
  size_t mBodyBytes = 0;    // Of the requests and answers in progress.
  size_t mRequestBytes = 0; // Of heads, and of calls in progress besides their bodies.
  size_t mCallsOpen = 0;
  size_t mCallerConnections = 0;
  size_t mPeerConnections = 0;
  uint64_t mYieldedConnections = 0; // Closed or refused at all addresses because of limits.
  bool mReady = false;
};

// Counters and latency histograms of one gateway. Lives on one event loop.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void NoteCall(const CallOutcome& aOutcome, base::Millis aTook);

  // Time from the arrival of a turn until its first event went to the caller.
  void NoteFirstEvent(base::Millis aTook);

  // Time until the record of a turn was acknowledged.
  void NoteCommit(base::Millis aTook);

  // Time until a reservation was granted or refused.
  void NoteReservation(base::Millis aTook);

  // Counts a request of aAccount that was refused for aReason. The number of accounts with a
  // counter of their own is bounded; the rest share one.
  void NoteAccountRefusal(std::string_view aAccount, std::string_view aReason);

  // Counts an attempt to send a call to a replica, by its result.
  void NoteReplicaTry(std::string_view aResult);

  void NoteStoreCall(const StoreCall& aCall);

  // All metrics in the Prometheus text format.
  std::string Text(const Gauges& aGauges);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#pragma once

#include "event_loop.h"

#include "sycamore/bench/run_record.h"
#include "sycamore/client/event_parser.h"
#include "sycamore/client/failure.h"
#include "sycamore/http/async_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::bench {

// A request that is repeated until it succeeds, is refused for good, or is given up.
struct Operation
{
  std::string mTarget;
  std::string mBody;
  std::string mEventsTarget; // Of a streamed call; empty otherwise.
  size_t mAccount = 0;       // Whose record counts refusals and retries.
};

struct OperationResult
{
  std::optional<client::Failure> mFailure;
  std::string mBody;                       // Of the answer, or the data of the `done` event.
  std::optional<base::Millis> mFirstToken; // Of a streamed call.
};

struct CallerSettings
{
  std::vector<http::Endpoint> mEntries;
  base::Millis mDeadline{ 125000 }; // Of one attempt.
  base::Millis mPatience{ 60000 };  // After the start no further attempt is made.
};

// Sends operations like a careful caller: any entry in turn, not-run refusals again after a pause,
// broken streams continued with Last-Event-ID.
class Caller
{
public:
  // Counts go to aRecord.
  Caller(EventLoop& aLoop, CallerSettings aSettings, RunRecord& aRecord);

  // Calls aDone on the loop's thread.
  void Start(Operation aOperation, std::function<void(OperationResult)> aDone);

  // Ends all requests without further reports.
  void Stop();

private:
  struct Running
  {
    Operation mOperation;
    std::function<void(OperationResult)> mDone;
    base::TimePoint mStarted;
    base::Millis mPause{ 0 };
    uint64_t mAttempt = 0;
    bool mPost = true;
    client::EventParser mParser;
    std::string mLastEventId;
    std::string mReceived; // Body of an answer that is no stream.
    OperationResult mResult;
    bool mFinal = false; // The stream's final event has arrived.
  };
  using RunningPtr = std::shared_ptr<Running>;

  void Attempt(const RunningPtr& aRunning);
  http::ClientRequest RequestOf(const Running& aRunning) const;
  void OnData(Running& aRunning, const std::string& aData);
  void OnEvent(Running& aRunning, const client::ServerEvent& aEvent);
  void OnResponse(const RunningPtr& aRunning, const http::ClientResponse& aResponse);
  void OnFailure(const RunningPtr& aRunning, const client::Failure& aFailure);
  void Finish(const RunningPtr& aRunning);

  EventLoop& mLoop;
  CallerSettings mSettings;
  RunRecord& mRecord;
  size_t mNextEntry = 0;
  http::AsyncClient mClient;
};

}

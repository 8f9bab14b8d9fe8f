#include "caller.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <utility>

namespace sycamore::bench {

using base::Millis;

static constexpr int kOk = 200;

// Pauses before an operation is sent again, without jitter and without Retry-After.
static constexpr Millis kMinPause{ 200 };
static constexpr Millis kMaxPause{ 5000 };

Caller::Caller(EventLoop& aLoop, CallerSettings aSettings, RunRecord& aRecord)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mRecord(aRecord)
{
}

void
Caller::Start(Operation aOperation, std::function<void(OperationResult)> aDone)
{
  auto running = std::make_shared<Running>();
  running->mOperation = std::move(aOperation);
  running->mDone = std::move(aDone);
  running->mStarted = base::Clock::now();
  Attempt(running);
}

void
Caller::Stop()
{
  mClient.Stop();
}

http::ClientRequest
Caller::RequestOf(const Running& aRunning) const
{
  http::ClientRequest request;
  if (aRunning.mPost) {
    request.mMethod = "POST";
    request.mTarget = aRunning.mOperation.mTarget;
    request.mBody = aRunning.mOperation.mBody;
  } else {
    request.mTarget = aRunning.mOperation.mEventsTarget;
  }
  if (!aRunning.mOperation.mEventsTarget.empty()) {
    request.mHeaders["Accept"] = "text/event-stream";
  }
  if (!aRunning.mLastEventId.empty()) {
    request.mHeaders["Last-Event-ID"] = aRunning.mLastEventId;
  }
  return request;
}

void
Caller::Attempt(const RunningPtr& aRunning)
{
  const uint64_t attempt = ++aRunning->mAttempt;
  aRunning->mParser = {};
  aRunning->mReceived.clear();
  // Reports of an attempt that was replaced are dropped.
  const auto post = [this, aRunning, attempt](std::function<void()> aFunction) {
    mLoop.Post([aRunning, attempt, function = std::move(aFunction)] {
      if (aRunning->mAttempt == attempt && !aRunning->mFinal) {
        function();
      }
    });
  };
  http::AsyncHandlers handlers;
  if (!aRunning->mOperation.mEventsTarget.empty()) {
    handlers.mOnData = [this, aRunning, post](std::string aData) {
      post([this, aRunning, data = std::move(aData)] { OnData(*aRunning, data); });
    };
  }
  handlers.mOnDone = [this, aRunning, post](http::ClientResponse aResponse) {
    post([this, aRunning, response = std::move(aResponse)] { OnResponse(aRunning, response); });
  };
  handlers.mOnError = [this, aRunning, post](const base::Error& aError, http::SendProgress) {
    post([this, aRunning, aError] { OnFailure(aRunning, client::FailureOf(aError)); });
  };
  const http::Endpoint& entry = mSettings.mEntries[mNextEntry++ % mSettings.mEntries.size()];
  mClient.Start(entry, RequestOf(*aRunning), mSettings.mDeadline, std::move(handlers));
}

void
Caller::OnData(Running& aRunning, const std::string& aData)
{
  aRunning.mReceived += aData;
  aRunning.mParser.Feed(aData,
                        [&](const client::ServerEvent& aEvent) { OnEvent(aRunning, aEvent); });
}

void
Caller::OnEvent(Running& aRunning, const client::ServerEvent& aEvent)
{
  OperationResult& result = aRunning.mResult;
  if (!aEvent.mId.empty()) {
    aRunning.mLastEventId = aEvent.mId;
  }
  if (aEvent.mName == "token" && !result.mFirstToken) {
    result.mFirstToken = std::chrono::duration_cast<Millis>(base::Clock::now() - aRunning.mStarted);
  } else if (aEvent.mName == "done") {
    result.mBody = aEvent.mData;
  } else if (aEvent.mName == "error") {
    result.mFailure = client::FailureOf(kOk, aEvent.mData, Millis(0));
  }
}

void
Caller::OnResponse(const RunningPtr& aRunning, const http::ClientResponse& aResponse)
{
  const bool streamed = !aRunning->mOperation.mEventsTarget.empty();
  const std::string& body = streamed ? aRunning->mReceived : aResponse.mBody;
  if (aResponse.mStatus < 200 || aResponse.mStatus >= 300) {
    OnFailure(aRunning, client::FailureOf(aResponse.mStatus, body, aResponse.mRetryAfter));
    return;
  }
  if (streamed && aRunning->mResult.mFailure) {
    const auto failure = *std::exchange(aRunning->mResult.mFailure, std::nullopt);
    OnFailure(aRunning, failure);
    return;
  }
  if (streamed && aRunning->mResult.mBody.empty()) {
    OnFailure(aRunning,
              client::FailureOf(
                base::Error{ base::ErrorKind::ConnectionLost, "the event stream was cut", "" }));
    return;
  }
  if (!streamed) {
    aRunning->mResult.mBody = body;
  }
  Finish(aRunning);
}

void
Caller::OnFailure(const RunningPtr& aRunning, const client::Failure& aFailure)
{
  AccountRecord& record = mRecord.mAccounts[aRunning->mOperation.mAccount];
  const bool notRun = aFailure.mRun == "not_run";
  record.mRefused += notRun && aFailure.mRetryable ? 1 : 0;
  record.mUnknown += aFailure.mRun == "unknown" ? 1 : 0;
  aRunning->mPause = std::clamp(2 * aRunning->mPause, kMinPause, kMaxPause);
  const Millis jitter(
    static_cast<int64_t>(base::RandomId() % static_cast<uint64_t>(aRunning->mPause.count())));
  const Millis pause = std::max(aRunning->mPause + jitter, aFailure.mRetryAfter);
  const auto now = base::Clock::now();
  if (!aFailure.mRetryable || now + pause > aRunning->mStarted + mSettings.mPatience) {
    aRunning->mResult.mFailure = aFailure;
    Finish(aRunning);
    return;
  }
  ++record.mRetried;
  const bool streamed = !aRunning->mOperation.mEventsTarget.empty();
  aRunning->mPost = !streamed || notRun || aFailure.mCode == "call_not_found";
  record.mReconnected += aRunning->mPost ? 0 : 1;
  mLoop.At(now + pause, [this, aRunning] { Attempt(aRunning); });
}

void
Caller::Finish(const RunningPtr& aRunning)
{
  aRunning->mFinal = true;
  aRunning->mDone(std::move(aRunning->mResult));
}

}

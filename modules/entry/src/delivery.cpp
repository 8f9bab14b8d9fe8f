#include "delivery.h"

#include "sycamore/http/error_body.h"

#include <utility>

namespace sycamore::entry {

static constexpr const char* kEventStream = "text/event-stream";

Delivery::Delivery(Answers& aAnswers)
  : mAnswers(aAnswers)
{
}

void
Delivery::Attach(Call& aCall, Waiter aWaiter, const std::string& aLastEventId)
{
  aWaiter.mNext = aCall.mEvents.ReplayFrom(aLastEventId, aWaiter.mReset);
  aCall.mWaiters.push_back(aWaiter);
  Waiter& waiter = aCall.mWaiters.back();
  if (waiter.mStream && waiter.mNext < aCall.mEvents.Size()) {
    Flush(aCall, waiter, false);
  }
}

void
Delivery::Flush(Call& aCall, Waiter& aWaiter, bool aLast)
{
  http::ResponsePart part;
  part.mFirst = !aWaiter.mStarted;
  part.mLast = aLast;
  part.mContentType = kEventStream;
  if (std::exchange(aWaiter.mReset, false)) {
    part.mBody = RenderEvent("reset", "{}");
  }
  part.mBody += aCall.mEvents.TextFrom(aWaiter.mNext);
  aWaiter.mNext = aCall.mEvents.Size();
  aWaiter.mStarted = true;
  mAnswers.Send(aWaiter.mReply, std::move(part));
}

void
Delivery::Token(Call& aCall, std::string_view aText)
{
  aCall.mEvents.AddToken(aText);
  FlushAll(aCall);
}

void
Delivery::Reset(Call& aCall)
{
  aCall.mEvents.AddReset();
  FlushAll(aCall);
}

void
Delivery::FlushAll(Call& aCall)
{
  std::erase_if(aCall.mWaiters,
                [this](const Waiter& aWaiter) { return !mAnswers.IsOpen(aWaiter.mReply); });
  for (Waiter& waiter : aCall.mWaiters) {
    if (waiter.mStream) {
      Flush(aCall, waiter, false);
    }
  }
}

void
Delivery::Done(Call& aCall, const TurnText& aResult)
{
  const std::string body = CallerAnswer(aResult.mSeq, aResult.mAnswer);
  aCall.mEvents.AddDone(body);
  for (Waiter& waiter : aCall.mWaiters) {
    if (waiter.mStream) {
      Flush(aCall, waiter, true);
    } else {
      http::ResponsePart part;
      part.mBody = body;
      mAnswers.Send(waiter.mReply, std::move(part));
    }
  }
  aCall.mWaiters.clear();
}

void
Delivery::FailOne(Call& aCall,
                  Waiter& aWaiter,
                  const base::Error& aError,
                  std::optional<base::RunState> aRun)
{
  if (!aWaiter.mStarted) {
    mAnswers.Fail(aWaiter.mReply, aError, aRun);
    return;
  }
  http::ResponsePart part;
  part.mFirst = false;
  part.mContentType = kEventStream;
  part.mBody = aCall.mEvents.TextFrom(aWaiter.mNext);
  part.mBody += RenderEvent("error", http::ErrorBody(aError, aRun));
  mAnswers.Send(aWaiter.mReply, std::move(part));
}

void
Delivery::Fail(Call& aCall, const base::Error& aError, std::optional<base::RunState> aRun)
{
  for (Waiter& waiter : aCall.mWaiters) {
    FailOne(aCall, waiter, aError, aRun);
  }
  aCall.mWaiters.clear();
}

void
Delivery::FailExpired(Call& aCall,
                      base::TimePoint aNow,
                      const base::Error& aError,
                      std::optional<base::RunState> aRun)
{
  for (Waiter& waiter : aCall.mWaiters) {
    if (aNow >= waiter.mDeadline) {
      FailOne(aCall, waiter, aError, aRun);
    }
  }
  std::erase_if(aCall.mWaiters,
                [aNow](const Waiter& aWaiter) { return aNow >= aWaiter.mDeadline; });
}

void
Delivery::Replay(const ReplyTo& aReply, const TurnText& aResult, bool aStream, bool aReset)
{
  http::ResponsePart part;
  const std::string body = CallerAnswer(aResult.mSeq, aResult.mAnswer);
  if (!aStream) {
    part.mBody = body;
    mAnswers.Send(aReply, std::move(part));
    return;
  }
  part.mContentType = kEventStream;
  if (aReset) {
    part.mBody = RenderEvent("reset", "{}");
  }
  const std::optional<std::string> content = ContentOf(aResult.mAnswer);
  if (content) {
    part.mBody += RenderToken(*content);
  }
  part.mBody += RenderEvent("done", body);
  mAnswers.Send(aReply, std::move(part));
}

}

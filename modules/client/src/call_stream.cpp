#include "sycamore/client/call_stream.h"

#include "sycamore/client/event_parser.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace sycamore::client {

static constexpr int kOk = 200;

// First pause after a failed attempt; doubled up to the second one. Owners change within 3 s.
static constexpr base::Millis kMinPause{ 100 };
static constexpr base::Millis kMaxPause{ 2000 };

CallStream::CallStream(Entries& aEntries, std::string aProgram, uint64_t aSeq, base::Millis aLimit)
  : mEntries(aEntries)
  , mProgram(std::move(aProgram))
  , mSeq(aSeq)
  , mLimit(aLimit)
{
}

// The text of a token event; empty if the data is of another form.
static std::string
TokenText(const std::string& aData)
{
  boost::json::error_code ignored;
  const boost::json::value root = boost::json::parse(aData, ignored);
  const auto* object = root.if_object();
  const auto* text = object == nullptr ? nullptr : object->if_contains("text");
  return text != nullptr && text->is_string() ? std::string(text->get_string()) : "";
}

void
CallStream::OnEvent(const ServerEvent& aEvent, const CallStreamHandlers& aHandlers)
{
  if (!aEvent.mId.empty()) {
    mLastEventId = aEvent.mId;
  }
  if (aEvent.mName == "token") {
    aHandlers.mOnToken(TokenText(aEvent.mData));
  } else if (aEvent.mName == "reset") {
    aHandlers.mOnReset();
  } else if (aEvent.mName == "done") {
    mFinal = aEvent.mData;
  } else if (aEvent.mName == "error") {
    mFinal = FailureOf(kOk, aEvent.mData, base::Millis(0));
  }
}

http::ClientRequest
CallStream::RequestFor(const std::optional<std::string>& aBody, bool aPost) const
{
  http::ClientRequest request;
  request.mHeaders["Accept"] = "text/event-stream";
  if (!mLastEventId.empty()) {
    request.mHeaders["Last-Event-ID"] = mLastEventId;
  }
  if (aPost) {
    request.mMethod = "POST";
    request.mTarget = fmt::format("/v1/programs/{}/calls", mProgram);
    request.mBody = *aBody;
  } else {
    request.mTarget = fmt::format("/v1/programs/{}/calls/{}/events", mProgram, mSeq);
  }
  return request;
}

// Returns nothing if the final event has arrived.
std::optional<Failure>
CallStream::Attempt(const http::ClientRequest& aRequest, const CallStreamHandlers& aHandlers)
{
  EventParser parser;
  const Answer answer = mEntries.Stream(aRequest, [&](std::string_view aPiece) {
    parser.Feed(aPiece, [&](const ServerEvent& aEvent) { OnEvent(aEvent, aHandlers); });
  });
  if (mFinal) {
    return std::nullopt;
  }
  if (const auto* failure = std::get_if<Failure>(&answer)) {
    return *failure;
  }
  return FailureOf(base::Error{
    base::ErrorKind::ConnectionLost, "the event stream ended before the final event", "" });
}

std::variant<std::string, Failure>
CallStream::Run(const std::optional<std::string>& aBody,
                std::string aLastEventId,
                const CallStreamHandlers& aHandlers)
{
  const base::TimePoint end = base::Clock::now() + mLimit;
  mLastEventId = std::move(aLastEventId);
  bool post = aBody.has_value();
  base::Millis pause = kMinPause;
  for (;;) {
    const auto failure = Attempt(RequestFor(aBody, post), aHandlers);
    if (!failure) {
      return std::move(*mFinal);
    }
    // A call that no owner knows did not commit; the same call may be posted again.
    const bool unknownCall = failure->mCode == "call_not_found";
    const bool retry = unknownCall ? aBody.has_value() : failure->mRetryable;
    if (!retry || base::Clock::now() + pause >= end) {
      return *failure;
    }
    // An entry that accepts no connection tells nothing about the call.
    const bool unreachable = failure->mStatus == 0 && failure->mRun == "not_run";
    if (!unreachable) {
      post = aBody && (unknownCall || failure->mRun == "not_run");
    }
    std::this_thread::sleep_for(std::max(pause, failure->mRetryAfter));
    pause = std::min(2 * pause, kMaxPause);
    ++mReconnects;
  }
}

}

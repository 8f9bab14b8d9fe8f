#include "answers.h"

#include "sycamore/http/error_body.h"

#include <boost/json/serialize.hpp>
#include <utility>

namespace sycamore::entry {

namespace json = boost::json;

static wire::ForwardPartT
ToForwardPart(const http::ResponsePart& aPart)
{
  wire::ForwardPartT part;
  part.request = aPart.mRequest;
  part.first = aPart.mFirst;
  part.last = aPart.mLast;
  part.status = static_cast<uint32_t>(aPart.mStatus);
  part.content_type = aPart.mContentType;
  part.body = aPart.mBody;
  part.retry_after_ms = static_cast<uint64_t>(aPart.mRetryAfter.count());
  return part;
}

Answers::Answers(Context& aContext)
  : mContext(aContext)
{
}

void
Answers::Open(const ReplyTo& aReply)
{
  mOpen.insert(aReply);
}

bool
Answers::IsOpen(const ReplyTo& aReply) const
{
  return mOpen.contains(aReply);
}

void
Answers::Close(const ReplyTo& aReply)
{
  mOpen.erase(aReply);
}

void
Answers::CloseLink(transport::LinkId aLink)
{
  std::erase_if(mOpen, [aLink](const ReplyTo& aReply) { return aReply.mLink == aLink; });
}

void
Answers::Send(const ReplyTo& aReply, http::ResponsePart aPart)
{
  const auto found = mOpen.find(aReply);
  if (found == mOpen.end()) {
    return;
  }
  aPart.mRequest = aReply.mRequest;
  if (aPart.mLast) {
    mOpen.erase(found);
  }
  if (aReply.mLink == 0) {
    mContext.mEffects.SendPart(std::move(aPart));
  } else {
    mContext.mEffects.SendFrame(aReply.mLink, wire::MakeFrame(ToForwardPart(aPart)));
  }
}

void
Answers::Json(const ReplyTo& aReply, int aStatus, const json::value& aBody)
{
  http::ResponsePart part;
  part.mStatus = aStatus;
  part.mBody = json::serialize(aBody);
  Send(aReply, std::move(part));
}

void
Answers::Fail(const ReplyTo& aReply,
              const base::Error& aError,
              std::optional<base::RunState> aRun,
              base::Millis aRetryAfter)
{
  ++mContext.mStats.mErrors;
  http::ResponsePart part;
  part.mStatus = base::AnswerFor(aError.mKind).mHttpStatus;
  part.mBody = http::ErrorBody(aError, aRun);
  part.mRetryAfter = aRetryAfter;
  Send(aReply, std::move(part));
}

}

#pragma once

#include "context.h"
#include "reply_to.h"
#include "sycamore/base/error.h"
#include "sycamore/http/response_part.h"

#include <boost/json/value.hpp>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace sycamore::entry {

// Sends answers to open requests, local or forwarded. A part for a request that is not open is
// dropped, so a request is answered completely at most once.
class Answers
{
public:
  explicit Answers(Context& aContext);

  void Open(const ReplyTo& aReply);
  bool IsOpen(const ReplyTo& aReply) const;

  // The caller closed its connection.
  void Close(const ReplyTo& aReply);

  // The connection to another entry was lost; closes the requests that came over it.
  void CloseLink(transport::LinkId aLink);

  // Number of requests received and not yet answered completely.
  size_t OpenCount() const { return mOpen.size(); }

  // Sends a part; mRequest of aPart is filled in.
  void Send(const ReplyTo& aReply, http::ResponsePart aPart);

  // Sends a complete JSON answer.
  void Json(const ReplyTo& aReply, int aStatus, const boost::json::value& aBody);

  // Sends a complete error answer.
  void Fail(const ReplyTo& aReply,
            const base::Error& aError,
            std::optional<base::RunState> aRun = std::nullopt,
            base::Millis aRetryAfter = base::Millis{ 0 });

private:
  Context& mContext;
  std::set<ReplyTo> mOpen;
};

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/client/entries.h"
#include "sycamore/client/server_event.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sycamore::client {

struct CallStreamHandlers
{
  std::function<void(std::string_view)> mOnToken; // Provisional text.
  std::function<void()> mOnReset;                 // All text so far is void; it comes again.
};

// Follows the events of one call to its final event. A connection that breaks is replaced, at the
// next entry, and continues after the last event received.
class CallStream
{
public:
  // aProgram and aSeq name the call. aLimit bounds the whole run.
  CallStream(Entries& aEntries, std::string aProgram, uint64_t aSeq, base::Millis aLimit);

  // Posts aBody, a call with stream set, or only watches the call if there is none. aLastEventId is
  // that of the last event already seen, or empty. Returns the data of the `done` event.
  std::variant<std::string, Failure> Run(const std::optional<std::string>& aBody,
                                         std::string aLastEventId,
                                         const CallStreamHandlers& aHandlers);

  // Connections that were replaced.
  size_t Reconnects() const { return mReconnects; }

private:
  std::optional<Failure> Attempt(const http::ClientRequest& aRequest,
                                 const CallStreamHandlers& aHandlers);
  void OnEvent(const ServerEvent& aEvent, const CallStreamHandlers& aHandlers);
  http::ClientRequest RequestFor(const std::optional<std::string>& aBody, bool aPost) const;

  Entries& mEntries;
  std::string mProgram;
  uint64_t mSeq;
  base::Millis mLimit;
  std::string mLastEventId;
  std::optional<std::variant<std::string, Failure>> mFinal;
  size_t mReconnects = 0;
};

}

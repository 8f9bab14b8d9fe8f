#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/request.h"
#include "sycamore/http/response_part.h"

#include <boost/json.hpp>
#include <functional>
#include <optional>

namespace sycamore::testbed {

// A test double of one platform service: a single-threaded state machine with time passed in.
class Standin
{
public:
  virtual ~Standin() = default;

  // Where answers go. Set once, before the first request.
  void SetSend(std::function<void(http::ResponsePart)> aSend) { mSend = std::move(aSend); }

  // Handles a request; answers it now or later through Send.
  virtual void OnRequest(const http::Request& aRequest, base::TimePoint aNow) = 0;

  // The caller of an unfinished request has gone.
  virtual void OnClosed(uint64_t /*aRequest*/, base::TimePoint /*aNow*/) {}

  // Applies the keys of a control request that belong to this stand-in. Error: InvalidField with
  // the name of a key that is unknown or has a wrong value; nothing is applied then.
  virtual base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                             base::TimePoint aNow) = 0;

  // When OnTimer is due; nothing if no work is pending.
  virtual std::optional<base::TimePoint> NextTimer() const { return std::nullopt; }

  virtual void OnTimer(base::TimePoint /*aNow*/) {}

  // Counters for GET /stats.
  virtual boost::json::object Stats(base::TimePoint aNow) const = 0;

  // Sets all counters to 0.
  virtual void ResetStats(base::TimePoint aNow) = 0;

protected:
  void Send(http::ResponsePart aPart) const { mSend(std::move(aPart)); }

private:
  std::function<void(http::ResponsePart)> mSend;
};

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/http/request.h"
#include "sycamore/http/response_part.h"
#include "sycamore/testbed/fault_table.h"
#include "sycamore/testbed/standin.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sycamore::testbed {

// One stand-in with its faults and the routes that all stand-ins share: POST /control, GET /stats
// and GET /healthz. Single-threaded, with time passed in.
class StandinPort
{
public:
  // aLatency delays every request of the stand-in proper.
  StandinPort(std::unique_ptr<Standin> aStandin,
              base::Millis aLatency,
              std::function<void(http::ResponsePart)> aSend);

  void OnRequest(http::Request aRequest, base::TimePoint aNow);
  void OnClosed(uint64_t aRequest, base::TimePoint aNow);
  std::optional<base::TimePoint> NextTimer() const;
  void OnTimer(base::TimePoint aNow);

private:
  // An unfinished request whose answer a fault changes.
  struct AlteredAnswer
  {
    FaultRule mRule;
    uint64_t mParts = 0; // Parts that the stand-in has sent so far.
  };

  void Control(const http::Request& aRequest, base::TimePoint aNow);
  base::Result<base::Unit> ApplyControl(const boost::json::object& aControl, base::TimePoint aNow);
  void Run(const http::Request& aRequest,
           const std::optional<FaultRule>& aFault,
           base::TimePoint aNow);
  void Deliver(const http::Request& aRequest, base::Millis aDelay, base::TimePoint aNow);
  void Answer(http::ResponsePart aPart);
  void Alter(AlteredAnswer& aAnswer, http::ResponsePart aPart);
  void AlterStream(AlteredAnswer& aAnswer, http::ResponsePart aPart);
  void StatsReply(uint64_t aRequest, base::TimePoint aNow);

  std::unique_ptr<Standin> mStandin;
  base::Millis mLatency;
  std::function<void(http::ResponsePart)> mSend;
  FaultTable mFaults;
  std::map<uint64_t, AlteredAnswer> mAltered;
  std::multimap<base::TimePoint, http::Request> mDelayed;
};

}

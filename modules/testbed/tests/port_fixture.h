#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/http/request.h"
#include "sycamore/http/response_part.h"
#include "sycamore/testbed/standin.h"
#include "sycamore/testbed/standin_port.h"

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::testbed {

// A stand-in without network, driven with a clock of the test.
class PortFixture
{
public:
  void Use(std::unique_ptr<Standin> aStandin, base::Millis aLatency = base::Millis(0));

  // Sends a request; returns its id. aTarget may have a query.
  uint64_t Request(const std::string& aMethod, const std::string& aTarget, std::string aBody = "");

  // Parts of the answer to aRequest so far.
  std::vector<http::ResponsePart> Parts(uint64_t aRequest) const;

  // Status of the answer; 0 if there is none yet.
  int Status(uint64_t aRequest) const;

  // The whole body so far.
  std::string Body(uint64_t aRequest) const;

  // The body as a JSON object; fails the test if it is none.
  boost::json::object Json(uint64_t aRequest) const;

  // Sends a request that is answered at once; returns the JSON body.
  boost::json::object Ask(const std::string& aMethod,
                          const std::string& aTarget,
                          std::string aBody = "");

  // Sends a control request and requires that it is accepted.
  void Control(const std::string& aBody);

  // Advances the clock by aDuration and runs each timer at its time.
  void Advance(base::Micros aDuration);

  // Runs timers until aRequest is answered completely; returns the time that passed.
  base::Micros RunUntilAnswered(uint64_t aRequest);

  void Close(uint64_t aRequest);

  base::TimePoint mNow = base::Clock::now();

private:
  bool Finished(uint64_t aRequest) const;

  std::unique_ptr<StandinPort> mPort;
  std::vector<http::ResponsePart> mParts;
  uint64_t mNextId = 0;
};

}

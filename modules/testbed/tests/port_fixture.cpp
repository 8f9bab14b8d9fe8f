#include "port_fixture.h"

#include "sycamore/testbed/json.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <utility>

namespace sycamore::testbed {

// Longer than any test lets an answer take, in the time of the test's clock.
static constexpr base::Seconds kLongest{ 3600 };

// More timers than any test runs; a timer that makes no progress would repeat for ever.
static constexpr int kMostTimers = 100000;

void
PortFixture::Use(std::unique_ptr<Standin> aStandin, base::Millis aLatency)
{
  mPort =
    std::make_unique<StandinPort>(std::move(aStandin), aLatency, [this](http::ResponsePart aPart) {
      mParts.push_back(std::move(aPart));
    });
}

uint64_t
PortFixture::Request(const std::string& aMethod, const std::string& aTarget, std::string aBody)
{
  http::Request request;
  request.mId = ++mNextId;
  request.mMethod = aMethod;
  request.mPath = aTarget.substr(0, aTarget.find('?'));
  request.mQuery = aTarget.size() > request.mPath.size() ? aTarget.substr(request.mPath.size() + 1)
                                                         : std::string();
  request.mBody = std::move(aBody);
  mPort->OnRequest(request, mNow);
  return request.mId;
}

std::vector<http::ResponsePart>
PortFixture::Parts(uint64_t aRequest) const
{
  std::vector<http::ResponsePart> parts;
  for (const http::ResponsePart& part : mParts) {
    if (part.mRequest == aRequest) {
      parts.push_back(part);
    }
  }
  return parts;
}

int
PortFixture::Status(uint64_t aRequest) const
{
  const auto parts = Parts(aRequest);
  return parts.empty() ? 0 : parts.front().mStatus;
}

std::string
PortFixture::Body(uint64_t aRequest) const
{
  std::string body;
  for (const http::ResponsePart& part : Parts(aRequest)) {
    body += part.mBody;
  }
  return body;
}

boost::json::object
PortFixture::Json(uint64_t aRequest) const
{
  auto object = ParseObject(Body(aRequest));
  BOOST_REQUIRE(base::IsOk(object));
  return base::ValueOf(object);
}

boost::json::object
PortFixture::Ask(const std::string& aMethod, const std::string& aTarget, std::string aBody)
{
  return Json(Request(aMethod, aTarget, std::move(aBody)));
}

void
PortFixture::Control(const std::string& aBody)
{
  const uint64_t request = Request("POST", "/control", aBody);
  BOOST_REQUIRE_MESSAGE(Status(request) == 200, Body(request));
}

void
PortFixture::Advance(base::Micros aDuration)
{
  const base::TimePoint end = mNow + aDuration;
  int timers = 0;
  for (auto next = mPort->NextTimer(); next && *next <= end; next = mPort->NextTimer()) {
    BOOST_REQUIRE(++timers < kMostTimers);
    mNow = std::max(mNow, *next);
    mPort->OnTimer(mNow);
  }
  mNow = end;
}

base::Micros
PortFixture::RunUntilAnswered(uint64_t aRequest)
{
  const base::TimePoint start = mNow;
  int timers = 0;
  while (!Finished(aRequest)) {
    BOOST_REQUIRE(++timers < kMostTimers);
    const auto next = mPort->NextTimer();
    BOOST_REQUIRE(next.has_value());
    mNow = std::max(mNow, *next);
    BOOST_REQUIRE(mNow - start < kLongest);
    mPort->OnTimer(mNow);
  }
  return std::chrono::duration_cast<base::Micros>(mNow - start);
}

void
PortFixture::Close(uint64_t aRequest)
{
  mPort->OnClosed(aRequest, mNow);
}

bool
PortFixture::Finished(uint64_t aRequest) const
{
  const auto parts = Parts(aRequest);
  return !parts.empty() && parts.back().mLast;
}

}

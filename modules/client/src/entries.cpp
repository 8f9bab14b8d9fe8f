#include "sycamore/client/entries.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace sycamore::client {

static constexpr int kUnavailable = 503;

// Bytes kept of a streamed body, in case it is an error object.
static constexpr size_t kMaxErrorBody = size_t{ 64 } << 10;

Entries::Entries(std::vector<http::Endpoint> aEndpoints, base::Millis aTimeout)
  : mEndpoints(std::move(aEndpoints))
  , mTimeout(aTimeout)
{
  assert(!mEndpoints.empty());
}

http::Client&
Entries::Current()
{
  if (mClient == nullptr) {
    mClient = std::make_unique<http::Client>(mEndpoints[mIndex], mTimeout);
  }
  return *mClient;
}

void
Entries::Next()
{
  mClient.reset();
  mIndex = (mIndex + 1) % mEndpoints.size();
}

static bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

// Whether another entry may be asked after aFailure.
static bool
MayTryNext(const Failure& aFailure, Resend aResend)
{
  if (aFailure.mStatus != 0) {
    return aFailure.mStatus == kUnavailable && aFailure.mRun == "not_run";
  }
  return aFailure.mRun == "not_run" || aResend == Resend::Safe;
}

Answer
Entries::Perform(const http::ClientRequest& aRequest, Resend aResend)
{
  Failure failure;
  for (size_t attempt = 0; attempt < mEndpoints.size(); ++attempt) {
    auto result = Current().Perform(aRequest);
    if (base::IsOk(result)) {
      const http::ClientResponse& response = base::ValueOf(result);
      if (IsSuccess(response.mStatus)) {
        return response;
      }
      failure = FailureOf(response.mStatus, response.mBody, response.mRetryAfter);
    } else {
      failure = FailureOf(base::ErrorOf(result));
    }
    if (!MayTryNext(failure, aResend)) {
      return failure;
    }
    Next();
  }
  return failure;
}

Answer
Entries::Stream(const http::ClientRequest& aRequest,
                const std::function<void(std::string_view)>& aOnData)
{
  std::string kept;
  const auto onData = [&](std::string_view aPiece) {
    kept += aPiece.substr(0, kMaxErrorBody - std::min(kMaxErrorBody, kept.size()));
    aOnData(aPiece);
    return true;
  };
  auto result = Current().PerformStreaming(aRequest, onData);
  std::optional<Failure> failure;
  if (!base::IsOk(result)) {
    failure = FailureOf(base::ErrorOf(result));
  } else if (!IsSuccess(base::ValueOf(result).mStatus)) {
    const http::ClientResponse& response = base::ValueOf(result);
    failure = FailureOf(response.mStatus, kept, response.mRetryAfter);
  }
  if (failure) {
    Next();
    return *failure;
  }
  http::ClientResponse response = base::TakeValue(std::move(result));
  response.mBody = std::move(kept);
  return response;
}

base::Result<std::vector<http::Endpoint>>
ParseEndpoints(std::string_view aText)
{
  std::vector<http::Endpoint> endpoints;
  size_t begin = 0;
  while (begin <= aText.size()) {
    const size_t end = std::min(aText.find(',', begin), aText.size());
    auto endpoint = http::ParseEndpoint(aText.substr(begin, end - begin));
    if (!base::IsOk(endpoint)) {
      return base::ErrorOf(endpoint);
    }
    endpoints.push_back(base::TakeValue(std::move(endpoint)));
    begin = end + 1;
  }
  return endpoints;
}

}

#include "sycamore/platform/weight_store_client.h"

#include "sycamore/http/client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sycamore::platform {

static constexpr int kOk = 200;
static constexpr int kTooManyRequests = 429;

namespace {

class HttpWeightStoreClient : public WeightStoreClient
{
public:
  HttpWeightStoreClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
    : mClient(aEndpoint, aTimeout)
  {
  }

  base::Result<SlotAnswer> Acquire(const std::string& aModel,
                                   const std::string& aVersion,
                                   const std::string& aInstance) override
  {
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/slots";
    request.mBody = boost::json::serialize(boost::json::object{
      { "model", aModel }, { "version", aVersion }, { "instance", aInstance } });
    const auto response = mClient.Perform(request);
    if (!base::IsOk(response)) {
      return base::ErrorOf(response);
    }
    return ParseAnswer(base::ValueOf(response));
  }

private:
  static base::Result<SlotAnswer> ParseAnswer(const http::ClientResponse& aResponse)
  {
    if (aResponse.mStatus == kOk) {
      return SlotAnswer{ true, base::Millis(0) };
    }
    if (aResponse.mStatus == kTooManyRequests) {
      return SlotAnswer{ false, aResponse.mRetryAfter };
    }
    return base::Error{ base::ErrorKind::TargetFailed,
                        fmt::format("the weight store answered status {}", aResponse.mStatus),
                        "" };
  }

  http::Client mClient;
};

}

std::unique_ptr<WeightStoreClient>
MakeHttpWeightStoreClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
{
  return std::make_unique<HttpWeightStoreClient>(aEndpoint, aTimeout);
}

}

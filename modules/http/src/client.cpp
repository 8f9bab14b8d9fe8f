#include "sycamore/http/client.h"

#include "exchange.h"

namespace sycamore::http {

class Client::Impl
{
public:
  Impl(Endpoint aEndpoint, base::Millis aTimeout)
    : mEndpoint(std::move(aEndpoint))
    , mTimeout(aTimeout)
  {
  }

  base::Result<ClientResponse> Run(const ClientRequest& aRequest,
                                   const std::function<bool(std::string_view)>& aOnData)
  {
    if (mKept && !IsReusable(*mKept)) {
      mKept.reset();
    }
    std::optional<base::Result<ClientResponse>> result;
    ExchangeHandlers handlers;
    handlers.mOnData = aOnData;
    handlers.mOnDone = [this, &result](ClientResponse aResponse,
                                       std::unique_ptr<Connection> aKept) {
      mKept = std::move(aKept);
      result = std::move(aResponse);
    };
    handlers.mOnError = [&result](base::Error aError, SendProgress) { result = std::move(aError); };
    const bool streaming = static_cast<bool>(aOnData);
    std::make_shared<Exchange>(
      mContext, mEndpoint, std::move(mKept), mTimeout, streaming, std::move(handlers))
      ->Start(aRequest);
    mContext.restart();
    mContext.run();
    return std::move(*result);
  }

private:
  boost::asio::io_context mContext{ 1 };
  Endpoint mEndpoint;
  base::Millis mTimeout;
  std::unique_ptr<Connection> mKept;
};

Client::Client(Endpoint aEndpoint, base::Millis aTimeout)
  : mImpl(std::make_unique<Impl>(std::move(aEndpoint), aTimeout))
{
}

Client::~Client() = default;

base::Result<ClientResponse>
Client::Perform(const ClientRequest& aRequest)
{
  return mImpl->Run(aRequest, {});
}

base::Result<ClientResponse>
Client::PerformStreaming(const ClientRequest& aRequest,
                         const std::function<bool(std::string_view)>& aOnData)
{
  return mImpl->Run(aRequest, aOnData);
}

}

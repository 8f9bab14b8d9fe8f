#include "sycamore/http/async_client.h"

#include "exchange.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <map>
#include <thread>
#include <unordered_map>
#include <vector>

namespace sycamore::http {

// Idle connections kept per endpoint; more are closed.
static constexpr size_t kMaxIdle = 64;

class AsyncClient::Impl
{
public:
  Impl()
    : mWork(boost::asio::make_work_guard(mContext))
    , mThread([this] { mContext.run(); })
  {
  }

  ~Impl() { Stop(); }

  uint64_t Start(const Endpoint& aEndpoint,
                 ClientRequest aRequest,
                 base::Millis aDeadline,
                 AsyncHandlers aHandlers)
  {
    const uint64_t id = mNextId.fetch_add(1);
    boost::asio::post(mContext,
                      [this,
                       id,
                       endpoint = aEndpoint,
                       request = std::move(aRequest),
                       aDeadline,
                       handlers = std::move(aHandlers)]() mutable {
                        Run(id, endpoint, request, aDeadline, std::move(handlers));
                      });
    return id;
  }

  void Cancel(uint64_t aId)
  {
    boost::asio::post(mContext, [this, aId] {
      const auto running = mRunning.find(aId);
      if (running != mRunning.end()) {
        running->second->Cancel();
      }
    });
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    boost::asio::post(mContext, [this] { mContext.stop(); });
    mThread.join();
    mRunning.clear();
    mIdle.clear();
  }

private:
  void Run(uint64_t aId,
           const Endpoint& aEndpoint,
           const ClientRequest& aRequest,
           base::Millis aDeadline,
           AsyncHandlers aHandlers)
  {
    const auto shared = std::make_shared<AsyncHandlers>(std::move(aHandlers));
    ExchangeHandlers handlers;
    if (shared->mOnData) {
      handlers.mOnData = [shared](std::string_view aData) {
        shared->mOnData(std::string(aData));
        return true;
      };
    }
    handlers.mOnDone = [this, aId, aEndpoint, shared](ClientResponse aResponse,
                                                      std::unique_ptr<Connection> aKept) {
      mRunning.erase(aId);
      Keep(aEndpoint, std::move(aKept));
      shared->mOnDone(std::move(aResponse));
    };
    handlers.mOnError = [this, aId, shared](base::Error aError, SendProgress aProgress) {
      mRunning.erase(aId);
      shared->mOnError(std::move(aError), aProgress);
    };
    const auto exchange = std::make_shared<Exchange>(
      mContext, aEndpoint, TakeIdle(aEndpoint), aDeadline, false, std::move(handlers));
    mRunning.emplace(aId, exchange);
    exchange->Start(aRequest);
  }

  std::unique_ptr<Connection> TakeIdle(const Endpoint& aEndpoint)
  {
    auto& idle = mIdle[aEndpoint];
    while (!idle.empty()) {
      std::unique_ptr<Connection> connection = std::move(idle.back());
      idle.pop_back();
      if (IsReusable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void Keep(const Endpoint& aEndpoint, std::unique_ptr<Connection> aConnection)
  {
    auto& idle = mIdle[aEndpoint];
    if (aConnection && idle.size() < kMaxIdle) {
      idle.push_back(std::move(aConnection));
    }
  }

  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  std::atomic<uint64_t> mNextId{ 1 };
  std::unordered_map<uint64_t, std::shared_ptr<Exchange>> mRunning;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> mIdle;
  std::thread mThread;
};

AsyncClient::AsyncClient()
  : mImpl(std::make_unique<Impl>())
{
}

AsyncClient::~AsyncClient() = default;

uint64_t
AsyncClient::Start(const Endpoint& aEndpoint,
                   ClientRequest aRequest,
                   base::Millis aDeadline,
                   AsyncHandlers aHandlers)
{
  return mImpl->Start(aEndpoint, std::move(aRequest), aDeadline, std::move(aHandlers));
}

void
AsyncClient::Cancel(uint64_t aId)
{
  mImpl->Cancel(aId);
}

void
AsyncClient::Stop()
{
  mImpl->Stop();
}

}

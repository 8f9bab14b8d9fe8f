#include "sycamore/testbed/relay.h"

#include "relay_link_state.h"
#include "relay_session.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <list>
#include <thread>
#include <utility>
#include <vector>

namespace sycamore::testbed {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

static Tcp::endpoint
ToTcp(const http::Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort };
}

namespace {

// One link; used on the relay's thread only.
class Link
{
public:
  Link(asio::io_context& aContext, const Tcp::endpoint& aForward)
    : mAcceptor(aContext)
    , mForward(aForward)
    , mState(std::make_shared<RelayLinkState>())
  {
  }

  boost::system::error_code Open(const Tcp::endpoint& aListen)
  {
    boost::system::error_code error;
    mAcceptor.open(aListen.protocol(), error);
    if (!error) {
      mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      mAcceptor.bind(aListen, error);
    }
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      boost::system::error_code ignored;
      mAcceptor.close(ignored);
      return error;
    }
    mBound = mAcceptor.local_endpoint();
    Accept();
    return {};
  }

  void Close()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (const auto& session : std::exchange(mSessions, {})) {
      session->Close();
    }
  }

  void DropExisting()
  {
    for (const auto& session : mSessions) {
      session->Drop();
    }
  }

  boost::system::error_code SetMode(RelayMode aMode)
  {
    mState->mMode = aMode;
    if (aMode == RelayMode::Refuse) {
      Close();
      return {};
    }
    if (!mAcceptor.is_open()) {
      return Open(mBound);
    }
    for (const auto& session : mSessions) {
      session->Resume();
    }
    return {};
  }

  void SetDelay(base::Millis aDelay) { mState->mDelay = aDelay; }

  RelayStats Stats() const
  {
    RelayStats stats;
    stats.mAccepted = mAccepted;
    stats.mOpen = mSessions.size();
    stats.mDropping = static_cast<uint64_t>(std::count_if(
      mSessions.begin(), mSessions.end(), [](const auto& aItem) { return aItem->Dropping(); }));
    stats.mForwardedBytes = mState->mForwardedBytes;
    stats.mDroppedBytes = mState->mDroppedBytes;
    return stats;
  }

  const Tcp::endpoint& Bound() const { return mBound; }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](const boost::system::error_code& aError, Tcp::socket aSocket) {
      if (!aError) {
        AddSession(std::move(aSocket));
      }
      if (mAcceptor.is_open()) {
        Accept();
      }
    });
  }

  void AddSession(Tcp::socket aSocket)
  {
    ++mAccepted;
    const auto place = mSessions.emplace(mSessions.end());
    *place = std::make_shared<RelaySession>(
      std::move(aSocket), mState, [this, place] { mSessions.erase(place); });
    (*place)->Start(mForward);
  }

  Tcp::acceptor mAcceptor;
  Tcp::endpoint mForward;
  Tcp::endpoint mBound;
  std::shared_ptr<RelayLinkState> mState;
  std::list<std::shared_ptr<RelaySession>> mSessions;
  uint64_t mAccepted = 0;
};

}

class Relay::Impl
{
public:
  Impl()
    : mGuard(asio::make_work_guard(mContext))
    , mThread([this] { mContext.run(); })
  {
  }

  ~Impl() { Stop(); }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    Do([this] {
      for (const auto& link : mLinks) {
        link->Close();
      }
      return 0;
    });
    mGuard.reset();
    mContext.stop();
    mThread.join();
  }

  // Runs aFunction on the relay's thread and returns its result.
  template<typename F>
  auto Do(F aFunction) -> decltype(aFunction())
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    asio::post(mContext, std::move(task));
    return result.get();
  }

  asio::io_context mContext{ 1 };
  std::vector<std::unique_ptr<Link>> mLinks;

private:
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  std::thread mThread;
};

static base::Error
BindError(const http::Endpoint& aEndpoint, const boost::system::error_code& aError)
{
  return base::Error{ base::ErrorKind::InvalidSettings,
                      fmt::format(
                        "cannot listen on {}: {}", http::ToString(aEndpoint), aError.message()),
                      "" };
}

static http::Endpoint
ToEndpoint(const Tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

Relay::Relay()
  : mImpl(std::make_unique<Impl>())
{
}

Relay::~Relay() = default;

base::Result<http::Endpoint>
Relay::Add(const http::Endpoint& aListen, const http::Endpoint& aForward)
{
  return mImpl->Do([this, aListen, aForward]() -> base::Result<http::Endpoint> {
    auto link = std::make_unique<Link>(mImpl->mContext, ToTcp(aForward));
    const auto error = link->Open(ToTcp(aListen));
    if (error) {
      return BindError(aListen, error);
    }
    mImpl->mLinks.push_back(std::move(link));
    return ToEndpoint(mImpl->mLinks.back()->Bound());
  });
}

size_t
Relay::Size() const
{
  return mImpl->Do([this] { return mImpl->mLinks.size(); });
}

void
Relay::DropExisting(size_t aLink)
{
  mImpl->Do([this, aLink] {
    mImpl->mLinks.at(aLink)->DropExisting();
    return 0;
  });
}

base::Result<base::Unit>
Relay::SetMode(size_t aLink, RelayMode aMode)
{
  return mImpl->Do([this, aLink, aMode]() -> base::Result<base::Unit> {
    Link& link = *mImpl->mLinks.at(aLink);
    const auto error = link.SetMode(aMode);
    if (error) {
      return BindError(ToEndpoint(link.Bound()), error);
    }
    return base::Unit{};
  });
}

void
Relay::SetDelay(size_t aLink, base::Millis aDelay)
{
  mImpl->Do([this, aLink, aDelay] {
    mImpl->mLinks.at(aLink)->SetDelay(aDelay);
    return 0;
  });
}

RelayStats
Relay::Stats(size_t aLink) const
{
  return mImpl->Do([this, aLink] { return mImpl->mLinks.at(aLink)->Stats(); });
}

void
Relay::Stop()
{
  mImpl->Stop();
}

}

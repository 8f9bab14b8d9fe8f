#include "sycamore/http/server.h"

#include "server_session.h"
#include "sycamore/base/log.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <set>
#include <thread>
#include <unordered_map>

namespace sycamore::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

class Server::Impl
{
public:
  Impl(const ServerLimits& aLimits, ServerHandlers aHandlers)
    : mAcceptor(mContext)
    , mWork(boost::asio::make_work_guard(mContext))
  {
    mHost.mLimits = aLimits;
    mHost.mConnections = std::make_shared<ConnectionLimit>(
      "http", aLimits.mMaxConnections, ConnectionLimit::Yields::Waiting);
    mHost.mOnRequest = std::move(aHandlers.mOnRequest);
    mHost.mOnClosed = std::move(aHandlers.mOnClosed);
    mHost.mOpenRequest = [this](std::shared_ptr<ServerSession> aSession) {
      const uint64_t id = mNextRequest++;
      mOpen.emplace(id, std::move(aSession));
      mOpenCount.store(mOpen.size());
      return id;
    };
    mHost.mCloseRequest = [this](uint64_t aId) {
      mOpen.erase(aId);
      mOpenCount.store(mOpen.size());
    };
    mThread = std::thread([this] { mContext.run(); });
  }

  ~Impl() { Stop(); }

  base::Result<Endpoint> Listen(const Endpoint& aEndpoint)
  {
    error_code code;
    const tcp::endpoint address(boost::asio::ip::make_address(aEndpoint.mAddress, code),
                                aEndpoint.mPort);
    if (!code) {
      mAcceptor.open(address.protocol(), code);
    }
    if (!code) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
      mAcceptor.bind(address, code);
    }
    if (!code) {
      mAcceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    }
    if (code) {
      return base::Error{ base::ErrorKind::InvalidSettings,
                          fmt::format(
                            "cannot listen on {}: {}", ToString(aEndpoint), code.message()),
                          "http" };
    }
    const Endpoint bound{ aEndpoint.mAddress, mAcceptor.local_endpoint().port() };
    boost::asio::post(mContext, [this] { Accept(); });
    return bound;
  }

  void Send(ResponsePart aPart)
  {
    boost::asio::post(mContext, [this, part = std::move(aPart)] {
      const auto open = mOpen.find(part.mRequest);
      if (open != mOpen.end()) {
        // The session may unregister itself while it sends.
        const std::shared_ptr<ServerSession> session = open->second;
        session->Send(part);
      }
    });
  }

  void StopAccepting()
  {
    boost::asio::post(mContext, [this] {
      error_code ignored;
      mAcceptor.close(ignored);
    });
  }

  size_t OpenRequests() const { return mOpenCount.load(); }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    boost::asio::post(mContext, [this] { mContext.stop(); });
    mThread.join();
    error_code ignored;
    mAcceptor.close(ignored);
    for (const auto& [id, session] : mOpen) {
      session->Abort();
    }
    mOpen.clear();
    mOpenCount.store(0);
  }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](const error_code& aCode, tcp::socket aSocket) {
      if (aCode == boost::asio::error::operation_aborted || !mAcceptor.is_open()) {
        return;
      }
      if (aCode) {
        base::Log(base::LogEvent::HttpError, "accept failed: {}", aCode.message());
      } else if (mHost.mConnections->MakeRoom()) {
        std::make_shared<ServerSession>(std::move(aSocket), mHost)->Start();
      }
      Accept();
    });
  }

  boost::asio::io_context mContext{ 1 };
  tcp::acceptor mAcceptor;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  SessionHost mHost;
  uint64_t mNextRequest = 1;
  std::unordered_map<uint64_t, std::shared_ptr<ServerSession>> mOpen;
  std::atomic<size_t> mOpenCount{ 0 };
  std::thread mThread;
};

Server::Server(const ServerLimits& aLimits, ServerHandlers aHandlers)
  : mImpl(std::make_unique<Impl>(aLimits, std::move(aHandlers)))
{
}

Server::~Server() = default;

base::Result<Endpoint>
Server::Listen(const Endpoint& aEndpoint)
{
  return mImpl->Listen(aEndpoint);
}

void
Server::Send(ResponsePart aPart)
{
  mImpl->Send(std::move(aPart));
}

void
Server::StopAccepting()
{
  mImpl->StopAccepting();
}

size_t
Server::OpenRequests() const
{
  return mImpl->OpenRequests();
}

void
Server::Stop()
{
  mImpl->Stop();
}

}

#include "sycamore/testbed/standin_host.h"

#include <algorithm>
#include <utility>

namespace sycamore::testbed {

// Large enough for a burst of 8 requests from each of 1,000 connections.
static constexpr size_t kEventCapacity = 8192;

// Longest wait without a look at the stop flag.
static constexpr base::Micros kIdleWait{ 50000 };

static http::ServerLimits
Limits()
{
  http::ServerLimits limits;
  limits.mMaxBodyBytes = size_t{ 64 } << 20;
  limits.mMaxBufferedBytes = size_t{ 64 } << 20;
  return limits;
}

StandinHost::StandinHost()
  : mEvents(kEventCapacity)
{
}

StandinHost::~StandinHost()
{
  Stop();
}

base::Result<http::Endpoint>
StandinHost::Add(std::unique_ptr<Standin> aStandin,
                 const http::Endpoint& aEndpoint,
                 base::Millis aLatency)
{
  const size_t port = mPorts.size();
  http::ServerHandlers handlers;
  handlers.mOnRequest = [this, port](http::Request aRequest) {
    return mEvents.TryPush(Received{ port, std::move(aRequest) });
  };
  handlers.mOnClosed = [this, port](uint64_t aRequest) {
    mEvents.TryPush(Closed{ port, aRequest });
  };
  auto server = std::make_unique<http::Server>(Limits(), std::move(handlers));
  http::Server* sender = server.get();
  auto bound = server->Listen(aEndpoint);
  if (!base::IsOk(bound)) {
    return bound;
  }
  mServers.push_back(std::move(server));
  mPorts.push_back(std::make_unique<StandinPort>(
    std::move(aStandin), aLatency, [sender](http::ResponsePart aPart) {
      sender->Send(std::move(aPart));
    }));
  return bound;
}

void
StandinHost::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
StandinHost::Stop()
{
  mStopping.store(true);
  mEvents.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& server : mServers) {
    server->Stop();
  }
}

void
StandinHost::Run()
{
  while (!mStopping.load()) {
    auto event = mEvents.PopFor(UntilNextTimer());
    if (event) {
      Handle(std::move(*event));
    }
    RunTimers();
  }
}

void
StandinHost::Handle(Event aEvent)
{
  const auto now = base::Clock::now();
  if (auto* received = std::get_if<Received>(&aEvent)) {
    mPorts.at(received->mPort)->OnRequest(std::move(received->mRequest), now);
    return;
  }
  const auto& closed = std::get<Closed>(aEvent);
  mPorts.at(closed.mPort)->OnClosed(closed.mRequest, now);
}

void
StandinHost::RunTimers()
{
  const auto now = base::Clock::now();
  for (const auto& port : mPorts) {
    const auto next = port->NextTimer();
    if (next && *next <= now) {
      port->OnTimer(now);
    }
  }
}

base::Micros
StandinHost::UntilNextTimer() const
{
  const auto now = base::Clock::now();
  base::Micros wait = kIdleWait;
  for (const auto& port : mPorts) {
    const auto next = port->NextTimer();
    if (next) {
      wait = std::min(wait, std::chrono::ceil<base::Micros>(*next - now));
    }
  }
  return std::max(wait, base::Micros(0));
}

}

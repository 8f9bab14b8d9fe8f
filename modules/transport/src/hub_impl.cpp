#include "hub_impl.h"

#include "sycamore/base/log.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace sycamore::transport {

using boost::asio::ip::tcp;
using boost::system::error_code;

// How often silence is checked and refused events are offered again.
static constexpr base::Millis kCheckInterval{ 100 };

// Limit of one connect; the redial backoff follows.
static constexpr base::Seconds kConnectLimit{ 3 };

// TCP and IP headers of a small segment and its acknowledgement, counted as control traffic.
static constexpr size_t kSegmentOverheadBytes = 104;

PeerHub::Impl::Impl(const PeerHubSettings& aSettings,
                    wire::HelloT aHello,
                    std::function<bool(PeerEvent)> aSink)
  : mWork(boost::asio::make_work_guard(mContext))
  , mAcceptor(mContext)
  , mHeartbeatTimer(mContext)
  , mCheckTimer(mContext)
  , mHello(std::move(aHello))
  , mSink(std::move(aSink))
{
  mHost.mSettings = aSettings;
  mHost.mOnHello = [this](PeerLink& aLink, std::shared_ptr<const wire::HelloT> aPeerHello) {
    OnHello(aLink, std::move(aPeerHello));
  };
  mHost.mOnFrame = [this](PeerLink& aLink, std::shared_ptr<wire::FrameT> aFrame) {
    OnFrame(aLink, std::move(aFrame));
  };
  mHost.mOnClosed = [this](PeerLink& aLink, const std::string& aReason) {
    OnClosed(aLink, aReason);
  };
  mHost.mCount = [this](size_t aSent, size_t aReceived) {
    mBytesSent += aSent;
    mBytesReceived += aReceived;
  };
  ScheduleHeartbeat(aSettings.mHeartbeatBase);
  ScheduleCheck();
  mThread = std::thread([this] { mContext.run(); });
}

PeerHub::Impl::~Impl()
{
  Stop(base::Millis(0));
}

base::Result<http::Endpoint>
PeerHub::Impl::Listen(const http::Endpoint& aEndpoint)
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
                        fmt::format("cannot listen on {}: {}", ToString(aEndpoint), code.message()),
                        "peer" };
  }
  const http::Endpoint bound{ aEndpoint.mAddress, mAcceptor.local_endpoint().port() };
  boost::asio::post(mContext, [this] { Accept(); });
  return bound;
}

void
PeerHub::Impl::Accept()
{
  mAcceptor.async_accept([this](const error_code& aCode, tcp::socket aSocket) {
    if (aCode == boost::asio::error::operation_aborted || !mAcceptor.is_open()) {
      return;
    }
    if (!aCode) {
      StartLink(std::move(aSocket), "");
    }
    Accept();
  });
}

void
PeerHub::Impl::Dial(const http::Endpoint& aEndpoint)
{
  boost::asio::post(mContext, [this, aEndpoint] {
    auto& dialer = mDialers[aEndpoint];
    if (!dialer && !mStopping) {
      dialer = std::make_unique<Dialer>(mContext);
      Connect(aEndpoint);
    }
  });
}

void
PeerHub::Impl::Forget(const http::Endpoint& aEndpoint)
{
  boost::asio::post(mContext, [this, aEndpoint] {
    const auto found = mDialers.find(aEndpoint);
    if (found == mDialers.end()) {
      return;
    }
    const LinkId link = found->second->mLink;
    if (found->second->mConnecting) {
      error_code ignored;
      found->second->mConnecting->close(ignored);
    }
    mDialers.erase(found);
    const auto open = mLinks.find(link);
    if (open != mLinks.end()) {
      const auto keep = open->second;
      keep->Close("no longer wanted");
    }
  });
}

void
PeerHub::Impl::Connect(const http::Endpoint& aEndpoint)
{
  Dialer& dialer = *mDialers.at(aEndpoint);
  const auto socket = std::make_shared<tcp::socket>(mContext);
  dialer.mConnecting = socket;
  error_code code;
  const tcp::endpoint address(boost::asio::ip::make_address(aEndpoint.mAddress, code),
                              aEndpoint.mPort);
  dialer.mTimer.expires_after(kConnectLimit);
  dialer.mTimer.async_wait([socket](const error_code& aCode) {
    error_code ignored;
    if (!aCode) {
      socket->close(ignored);
    }
  });
  socket->async_connect(address, [this, aEndpoint, socket](const error_code& aCode) {
    const auto found = mDialers.find(aEndpoint);
    if (found == mDialers.end() || found->second->mConnecting != socket) {
      return;
    }
    found->second->mConnecting.reset();
    found->second->mTimer.cancel();
    if (aCode) {
      ScheduleRedial(aEndpoint);
    } else {
      found->second->mLink = StartLink(std::move(*socket), ToString(aEndpoint))->Id();
    }
  });
}

void
PeerHub::Impl::ScheduleRedial(const http::Endpoint& aEndpoint)
{
  const auto found = mDialers.find(aEndpoint);
  if (found == mDialers.end() || mStopping) {
    return;
  }
  Dialer& dialer = *found->second;
  const PeerHubSettings& settings = mHost.mSettings;
  dialer.mBackoff = std::clamp(dialer.mBackoff * 2, settings.mRedialMin, settings.mRedialMax);
  // Jitter between half and the whole backoff keeps the peers of a restarted process apart.
  const auto half = dialer.mBackoff.count() / 2;
  const base::Millis delay(half + static_cast<int64_t>(base::RandomId() % (half + 1)));
  dialer.mTimer.expires_after(delay);
  dialer.mTimer.async_wait([this, aEndpoint](const error_code& aCode) {
    if (!aCode && mDialers.contains(aEndpoint)) {
      Connect(aEndpoint);
    }
  });
}

std::shared_ptr<PeerLink>
PeerHub::Impl::StartLink(tcp::socket aSocket, std::string aDialled)
{
  const LinkId id = mNextLink++;
  auto link = std::make_shared<PeerLink>(id, std::move(aSocket), std::move(aDialled), mHost);
  mLinks.emplace(id, link);
  wire::HelloT hello = mHello;
  hello.generation = mNextGeneration++;
  link->Start(hello);
  return link;
}

void
PeerHub::Impl::OnHello(PeerLink& aLink, std::shared_ptr<const wire::HelloT> aHello)
{
  Supersede(aLink);
  {
    const std::lock_guard<std::mutex> lock(mOpenMutex);
    mOpenLinks.insert(aLink.Id());
  }
  for (auto& [endpoint, dialer] : mDialers) {
    if (dialer->mLink == aLink.Id()) {
      dialer->mBackoff = base::Millis(0);
    }
  }
  base::Log(base::LogEvent::PeerConnected,
            "peer={} incarnation={:x} link={}",
            aHello->instance,
            aHello->incarnation,
            aLink.Id());
  Deliver(aLink, PeerConnected{ aLink.Id(), std::move(aHello), aLink.Dialled() });
}

// Closes older accepted links of the same peer incarnation before anything of the newer link is
// delivered, so that frames that were delayed on them can never arrive afterwards.
void
PeerHub::Impl::Supersede(const PeerLink& aNewer)
{
  if (!aNewer.Dialled().empty()) {
    return;
  }
  std::vector<std::shared_ptr<PeerLink>> older;
  for (const auto& [id, link] : mLinks) {
    const auto& hello = link->PeerHello();
    if (id != aNewer.Id() && link->Dialled().empty() && hello &&
        hello->incarnation == aNewer.PeerHello()->incarnation &&
        hello->generation < aNewer.PeerHello()->generation) {
      older.push_back(link);
    }
  }
  for (const auto& link : older) {
    base::Log(
      base::LogEvent::PeerSuperseded, "peer={} link={}", link->PeerHello()->instance, link->Id());
    link->Close("superseded by a newer connection");
  }
}

void
PeerHub::Impl::OnFrame(PeerLink& aLink, std::shared_ptr<wire::FrameT> aFrame)
{
  Deliver(aLink, PeerFrame{ aLink.Id(), std::move(aFrame) });
}

void
PeerHub::Impl::Deliver(PeerLink& aLink, PeerEvent aEvent)
{
  if (!mSink(std::move(aEvent))) {
    base::Log(base::LogEvent::RingFull, "ring=peers link={}", aLink.Id());
    aLink.Close("receiver is overloaded");
  }
}

void
PeerHub::Impl::OnClosed(PeerLink& aLink, const std::string& aReason)
{
  const bool wasOpen = aLink.PeerHello() != nullptr;
  {
    const std::lock_guard<std::mutex> lock(mOpenMutex);
    mOpenLinks.erase(aLink.Id());
  }
  if (wasOpen && !mStopping) {
    base::Log(base::LogEvent::PeerLost,
              "peer={} link={} reason={}",
              aLink.PeerHello()->instance,
              aLink.Id(),
              aReason);
  }
  if (wasOpen) {
    PeerEvent event = PeerLost{ aLink.Id(), aReason };
    if (!mSink(event)) {
      mUndelivered.push_back(std::move(event));
    }
  }
  for (const auto& [endpoint, dialer] : mDialers) {
    if (dialer->mLink == aLink.Id()) {
      dialer->mLink = 0;
      ScheduleRedial(endpoint);
    }
  }
  // The link is still in use by the caller; it goes with its last pending operation.
  boost::asio::post(mContext, [this, id = aLink.Id()] { mLinks.erase(id); });
}

bool
PeerHub::Impl::Send(LinkId aLink, const wire::FrameT& aFrame)
{
  {
    const std::lock_guard<std::mutex> lock(mOpenMutex);
    if (!mOpenLinks.contains(aLink)) {
      return false;
    }
  }
  boost::asio::post(mContext, [this, aLink, encoded = wire::EncodeFrame(aFrame)]() mutable {
    const auto found = mLinks.find(aLink);
    if (found != mLinks.end()) {
      const auto link = found->second;
      link->Send(std::move(encoded));
    }
  });
  return true;
}

void
PeerHub::Impl::Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat)
{
  boost::asio::post(mContext,
                    [this,
                     hello = std::make_shared<wire::HelloT>(std::move(aHello)),
                     heartbeat = std::make_shared<wire::HeartbeatT>(std::move(aHeartbeat))] {
                      mHello = std::move(*hello);
                      mHeartbeat = std::move(*heartbeat);
                    });
}

void
PeerHub::Impl::CloseLink(LinkId aLink)
{
  boost::asio::post(mContext, [this, aLink] {
    const auto found = mLinks.find(aLink);
    if (found != mLinks.end()) {
      const auto link = found->second;
      link->Close("closed by the receiver");
    }
  });
}

// Interval at which heartbeats of aBytes each to all open links stay within the control traffic.
base::Millis
PeerHub::Impl::HeartbeatInterval(size_t aBytes) const
{
  const size_t total = mLinks.size() * (aBytes + kSegmentOverheadBytes);
  const base::Millis budget(1000 * total / mHost.mSettings.mControlBytesPerSecond);
  return std::max(mHost.mSettings.mHeartbeatBase, budget);
}

void
PeerHub::Impl::ScheduleHeartbeat(base::Millis aDelay)
{
  mHeartbeatTimer.expires_after(aDelay);
  mHeartbeatTimer.async_wait([this](const error_code& aCode) {
    if (!aCode) {
      ScheduleHeartbeat(SendHeartbeats());
    }
  });
}

// Sends the published heartbeat on all open links; returns the time until the next one.
base::Millis
PeerHub::Impl::SendHeartbeats()
{
  const size_t bytes = wire::EncodeFrame(wire::MakeFrame(wire::HeartbeatT(mHeartbeat))).size();
  const base::Millis interval = HeartbeatInterval(bytes);
  mHeartbeat.interval_ms = static_cast<uint32_t>(interval.count());
  const std::string encoded = wire::EncodeFrame(wire::MakeFrame(wire::HeartbeatT(mHeartbeat)));
  std::vector<std::shared_ptr<PeerLink>> open;
  for (const auto& [id, link] : mLinks) {
    if (link->Phase() == LinkPhase::Open) {
      open.push_back(link);
    }
  }
  for (const auto& link : open) {
    link->Send(encoded);
  }
  return interval;
}

void
PeerHub::Impl::ScheduleCheck()
{
  mCheckTimer.expires_after(kCheckInterval);
  mCheckTimer.async_wait([this](const error_code& aCode) {
    if (!aCode) {
      Check();
      ScheduleCheck();
    }
  });
}

void
PeerHub::Impl::Check()
{
  while (!mUndelivered.empty() && mSink(mUndelivered.front())) {
    mUndelivered.pop_front();
  }
  std::vector<std::shared_ptr<PeerLink>> links;
  for (const auto& [id, link] : mLinks) {
    links.push_back(link);
  }
  const base::TimePoint now = base::Clock::now();
  for (const auto& link : links) {
    link->CheckSilence(now);
  }
}

void
PeerHub::Impl::Stop(base::Millis aFlush)
{
  if (!mThread.joinable()) {
    return;
  }
  const base::TimePoint latest = base::Clock::now() + aFlush;
  boost::asio::post(mContext, [this, latest] {
    mStopping = true;
    error_code ignored;
    mAcceptor.close(ignored);
    FinishStop(latest);
  });
  mThread.join();
  mLinks.clear();
  mDialers.clear();
}

// Stops the thread once all queues are empty or aLatest has passed.
void
PeerHub::Impl::FinishStop(base::TimePoint aLatest)
{
  const bool flushed = std::all_of(mLinks.begin(), mLinks.end(), [](const auto& aEntry) {
    return aEntry.second->QueuedBytes() == 0;
  });
  if (flushed || base::Clock::now() >= aLatest) {
    mContext.stop();
    return;
  }
  mCheckTimer.expires_after(base::Millis(5));
  mCheckTimer.async_wait([this, aLatest](const error_code&) { FinishStop(aLatest); });
}

}

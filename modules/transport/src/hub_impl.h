#pragma once

#include "peer_link.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace sycamore::transport {

// A peer address that the hub keeps a connection to.
struct Dialer
{
  explicit Dialer(boost::asio::io_context& aContext)
    : mTimer(aContext)
  {
  }

  boost::asio::steady_timer mTimer; // Redial.
  base::Millis mBackoff{ 0 };
  std::shared_ptr<boost::asio::ip::tcp::socket> mConnecting;
  LinkId mLink = 0; // 0 while not connected.
};

// The hub's state; all of it but the atomics and mOpenLinks belongs to its thread.
class PeerHub::Impl
{
public:
  Impl(const PeerHubSettings& aSettings, wire::HelloT aHello, std::function<bool(PeerEvent)> aSink);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  base::Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint);
  void Dial(const http::Endpoint& aEndpoint);
  void Forget(const http::Endpoint& aEndpoint);
  bool Send(LinkId aLink, const wire::FrameT& aFrame);
  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat);
  void CloseLink(LinkId aLink);
  void Stop(base::Millis aFlush);

  std::atomic<uint64_t> mBytesSent{ 0 };
  std::atomic<uint64_t> mBytesReceived{ 0 };

private:
  void Accept();
  void Connect(const http::Endpoint& aEndpoint);
  void ScheduleRedial(const http::Endpoint& aEndpoint);
  std::shared_ptr<PeerLink> StartLink(boost::asio::ip::tcp::socket aSocket, std::string aDialled);
  void OnHello(PeerLink& aLink, std::shared_ptr<const wire::HelloT> aHello);
  void OnFrame(PeerLink& aLink, std::shared_ptr<wire::FrameT> aFrame);
  void OnClosed(PeerLink& aLink, const std::string& aReason);
  void Supersede(const PeerLink& aNewer);
  void Deliver(PeerLink& aLink, PeerEvent aEvent);
  void ScheduleHeartbeat(base::Millis aDelay);
  base::Millis SendHeartbeats();
  void ScheduleCheck();
  void Check();
  void FinishStop(base::TimePoint aLatest);
  base::Millis HeartbeatInterval(size_t aBytes) const;

  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mHeartbeatTimer;
  boost::asio::steady_timer mCheckTimer;
  LinkHost mHost;
  wire::HelloT mHello;
  wire::HeartbeatT mHeartbeat;
  std::function<bool(PeerEvent)> mSink;
  LinkId mNextLink = 1;
  uint64_t mNextGeneration = 1;
  bool mStopping = false;
  std::unordered_map<LinkId, std::shared_ptr<PeerLink>> mLinks;
  std::map<http::Endpoint, std::unique_ptr<Dialer>> mDialers;
  std::deque<PeerEvent> mUndelivered; // PeerLost events that the sink refused; offered again.
  std::mutex mOpenMutex;
  std::set<LinkId> mOpenLinks; // Guarded by mOpenMutex; read by Send on any thread.
  std::thread mThread;
};

}

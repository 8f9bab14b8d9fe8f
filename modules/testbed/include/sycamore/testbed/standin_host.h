#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/base/ring.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/http/server.h"
#include "sycamore/testbed/standin.h"
#include "sycamore/testbed/standin_port.h"

#include <atomic>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace sycamore::testbed {

// Serves any number of stand-ins over HTTP, each on its own endpoint. All stand-ins run on the
// host's thread.
class StandinHost
{
public:
  StandinHost();
  ~StandinHost();
  StandinHost(const StandinHost&) = delete;
  StandinHost& operator=(const StandinHost&) = delete;

  // Adds a stand-in and serves it; port 0 takes a free port. Returns the bound endpoint. Requests
  // are handled from Start on.
  base::Result<http::Endpoint> Add(std::unique_ptr<Standin> aStandin,
                                   const http::Endpoint& aEndpoint,
                                   base::Millis aLatency = base::Millis(0));

  // Starts the thread. Call once, after the last Add.
  void Start();

  // Closes all connections and joins the thread. Idempotent.
  void Stop();

private:
  struct Received
  {
    size_t mPort;
    http::Request mRequest;
  };
  struct Closed
  {
    size_t mPort;
    uint64_t mRequest;
  };
  using Event = std::variant<Received, Closed>;

  void Run();
  void Handle(Event aEvent);
  void RunTimers();
  base::Micros UntilNextTimer() const;

  base::Ring<Event> mEvents;
  std::vector<std::unique_ptr<http::Server>> mServers;
  std::vector<std::unique_ptr<StandinPort>> mPorts;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

}

#pragma once

#include "sycamore/base/result.h"
#include "sycamore/settings/settings.h"

#include <memory>

namespace sycamore::daemon {

// Interface through which the main thread runs the role of the process: entry, sidecar or gateway.
class Service
{
public:
  virtual ~Service() = default;

  // Binds its addresses and starts its threads.
  virtual base::Result<base::Unit> Start() = 0;

  // Begins a graceful shutdown: no new work is accepted, work in flight goes on.
  virtual void BeginDrain() = 0;

  // Whether all work in flight has finished since BeginDrain.
  virtual bool Drained() = 0;

  // Joins all threads.
  virtual void Stop() = 0;
};

// Makes the service for the role in aSettings, with the adapters to the platform.
std::unique_ptr<Service>
MakeService(const settings::Settings& aSettings);

}

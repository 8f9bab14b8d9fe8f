#include "sycamore/daemon/service.h"

#include "sycamore/adapter/gateway_adapters.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "sycamore/entry/entry.h"
#include "sycamore/gateway/gateway.h"
#include "sycamore/platform/http_log_client.h"
#include "sycamore/platform/instance_list_client.h"
#include "sycamore/sidecar/sidecar.h"

namespace sycamore::daemon {

// Timeout of one request to the log. After a timeout, the log is read to find out whether the
// append succeeded before it is repeated.
static constexpr base::Seconds kLogTimeout{ 2 };

// Timeout of one request to the instance list.
static constexpr base::Seconds kInstanceListTimeout{ 2 };

static entry::EntryAdapters
MakeAdapters(const settings::Settings& aSettings)
{
  entry::EntryAdapters adapters;
  adapters.mMakeLogClient = [log = *aSettings.mLog] {
    return platform::MakeHttpLogClient(log, kLogTimeout);
  };
  const std::shared_ptr<platform::InstanceListClient> list =
    platform::MakeHttpInstanceListClient(*aSettings.mInstanceList, kInstanceListTimeout);
  adapters.mReadInstances = [list] { return list->Read(); };
  return adapters;
}

// Logs the addresses of the started process; tools wait for this line.
template<typename Role>
static base::Result<base::Unit>
StartAndLog(Role& aRole, const settings::Settings& aSettings, const char* aName)
{
  auto started = aRole.Start();
  if (base::IsOk(started)) {
    base::Log(base::LogEvent::ProcessStarted,
              "role={} http={} peer={} region={} domain={}",
              aName,
              ToString(aRole.HttpEndpoint()),
              ToString(aRole.PeerEndpoint()),
              aSettings.mRegion,
              aSettings.mDomain);
  }
  return started;
}

class EntryService : public Service
{
public:
  explicit EntryService(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mEntry(aSettings, MakeAdapters(aSettings))
  {
  }

  base::Result<base::Unit> Start() override { return StartAndLog(mEntry, mSettings, "entry"); }
  void BeginDrain() override { mEntry.BeginDrain(); }
  bool Drained() override { return mEntry.Drained(); }
  void Stop() override { mEntry.Stop(); }

private:
  const settings::Settings mSettings;
  entry::Entry mEntry;
};

class SidecarService : public Service
{
public:
  explicit SidecarService(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mSidecar(aSettings, base::RandomId())
  {
  }

  base::Result<base::Unit> Start() override { return StartAndLog(mSidecar, mSettings, "sidecar"); }
  void BeginDrain() override { mSidecar.BeginDrain(); }
  bool Drained() override { return mSidecar.Drained(); }
  void Stop() override { mSidecar.Stop(); }

private:
  const settings::Settings mSettings;
  sidecar::Sidecar mSidecar;
};

class GatewayService : public Service
{
public:
  explicit GatewayService(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mGateway(aSettings, adapter::MakeGatewayAdapters(*aSettings.mStore))
  {
  }

  base::Result<base::Unit> Start() override
  {
    auto started = mGateway.Start();
    if (base::IsOk(started)) {
      base::Log(base::LogEvent::ProcessStarted,
                "role=gateway http={} readiness={} store={} region={} domain={}",
                ToString(mSettings.mHttp),
                ToString(*mSettings.mReadiness),
                ToString(*mSettings.mStore),
                mSettings.mRegion,
                mSettings.mDomain);
    }
    return started;
  }
  void BeginDrain() override { mGateway.BeginDrain(); }
  bool Drained() override { return mGateway.Drained(); }
  void Stop() override { mGateway.Stop(); }

private:
  const settings::Settings mSettings;
  gateway::Gateway mGateway;
};

std::unique_ptr<Service>
MakeService(const settings::Settings& aSettings)
{
  if (aSettings.mRole == settings::Role::Entry) {
    return std::make_unique<EntryService>(aSettings);
  }
  if (aSettings.mRole == settings::Role::Gateway) {
    return std::make_unique<GatewayService>(aSettings);
  }
  return std::make_unique<SidecarService>(aSettings);
}

}

#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/http/client.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/testbed/cluster_options.h"
#include "sycamore/testbed/process.h"
#include "sycamore/testbed/temporary_directory.h"

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::testbed {

// A small system of real processes: stand-ins of the platform and the targets, entries and
// sidecars, all on one loopback address of its own. Everything is killed and reaped at the end of
// the object's life. Engine sidecars have the lower numbers, tool sidecars follow.
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts all processes and waits until all are ready. Returns false after aLimit; Outputs tells
  // why.
  bool Start(base::Millis aLimit);

  size_t Entries() const { return mOptions.mEntries; }
  size_t Sidecars() const { return mOptions.mEngineSidecars + mOptions.mToolSidecars; }

  // Endpoints for HTTP requests.
  http::Endpoint Entry(size_t aEntry) const;
  http::Endpoint Sidecar(size_t aSidecar) const;
  http::Endpoint Target(size_t aSidecar, size_t aTarget = 0) const;
  http::Endpoint Log() const;
  http::Endpoint InstanceList() const;
  http::Endpoint WeightStore() const;
  http::Endpoint RelayControl() const;

  // Names in settings, instance list and dumps.
  static std::string EntryName(size_t aEntry);
  static std::string SidecarName(size_t aSidecar);

  // Processes; the object of an instance that was started again is a new one. Targets runs the
  // targets of one sidecar.
  Process& EntryProcess(size_t aEntry) { return *mEntries.at(aEntry); }
  Process& SidecarProcess(size_t aSidecar) { return *mSidecars.at(aSidecar); }
  Process& TargetsProcess(size_t aSidecar) { return *mTargets.at(aSidecar); }
  Process& LogProcess() { return *mLog; }

  // Starts an instance, with the same settings as before. Kills it first if it runs.
  void StartEntry(size_t aEntry);
  void StartSidecar(size_t aSidecar);
  void StartTargets(size_t aSidecar);
  void StartLog();

  bool WaitEntryReady(size_t aEntry, base::Millis aLimit) const;
  bool WaitSidecarReady(size_t aSidecar, base::Millis aLimit) const;

  // Sends a control request to a stand-in; returns whether it was accepted.
  static bool Control(const http::Endpoint& aStandin, const boost::json::object& aControl);

  // Applies a control request to the relay of one instance; requires mRelays.
  bool ControlEntryRelay(size_t aEntry, boost::json::object aControl) const;
  bool ControlSidecarRelay(size_t aSidecar, boost::json::object aControl) const;

  // GET aPath as a JSON object; empty if there is no such answer.
  static boost::json::object Read(const http::Endpoint& aEndpoint, const std::string& aPath);

  // The counters of a stand-in.
  static boost::json::object Stats(const http::Endpoint& aStandin);

  // Changes one row of the instance list, visible after the list's lag.
  bool SetInstanceState(const std::string& aName, const std::string& aState) const;
  bool RemoveInstance(const std::string& aName) const;

  // The last lines of each process, for messages of failed tests.
  std::string Outputs() const;

private:
  using ProcessPtr = std::unique_ptr<Process>;

  http::Endpoint At(uint16_t aPort) const;
  std::string Text(uint16_t aPort) const;
  std::string Region(size_t aNumber) const;
  std::string PeerInList(size_t aNumber, uint16_t aPort, uint16_t aRelayPort) const;
  boost::json::array InstanceRows() const;
  boost::json::object InstanceSettings(const std::string& aName, size_t aNumber) const;
  boost::json::object EntrySettings(size_t aEntry) const;
  boost::json::object SidecarSettings(size_t aSidecar) const;
  boost::json::array TargetRows(size_t aSidecar) const;
  boost::json::array LinkRows() const;
  bool IsEngineSidecar(size_t aSidecar) const { return aSidecar < mOptions.mEngineSidecars; }
  ProcessPtr StartStandin(const std::string& aName,
                          const std::string& aKind,
                          const std::string& aListen,
                          const std::vector<std::string>& aFlags) const;
  ProcessPtr StartDaemon(const std::string& aName, const boost::json::object& aSettings) const;
  ProcessPtr StartRelay() const;

  ClusterOptions mOptions;
  std::string mAddress;
  TemporaryDirectory mDirectory;
  ProcessPtr mLog;
  ProcessPtr mInstances;
  ProcessPtr mWeights;
  ProcessPtr mRelay;
  std::vector<ProcessPtr> mTargets;
  std::vector<ProcessPtr> mSidecars;
  std::vector<ProcessPtr> mEntries;
};

}

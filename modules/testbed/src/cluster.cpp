#include "sycamore/testbed/cluster.h"

#include "sycamore/testbed/binaries.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/loopback_address.h"
#include "sycamore/testbed/wait.h"

#include <algorithm>
#include <cassert>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr uint16_t kLogPort = 7001;
static constexpr uint16_t kInstancesPort = 7002;
static constexpr uint16_t kWeightsPort = 7003;
static constexpr uint16_t kRelayPort = 7004;
static constexpr uint16_t kEntryHttpPort = 8000;
static constexpr uint16_t kEntryPeerPort = 9000;
static constexpr uint16_t kEntryRelayPort = 9500;
static constexpr uint16_t kSidecarHttpPort = 10000;
static constexpr uint16_t kSidecarPeerPort = 11000;
static constexpr uint16_t kSidecarRelayPort = 11500;
static constexpr uint16_t kTargetPort = 12000;
static constexpr uint16_t kMaxTargets = 100; // Of one sidecar.

static constexpr base::Millis kRequestTimeout{ 5000 };
static constexpr int64_t kLinkDelayMicros = 30000;
static constexpr int kOk = 200;

static uint16_t
Port(uint16_t aBase, size_t aNumber)
{
  return static_cast<uint16_t>(aBase + aNumber);
}

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mAddress(LoopbackAddress())
  , mTargets(Sidecars())
  , mSidecars(Sidecars())
  , mEntries(Entries())
{
  assert(mOptions.mTargetsPerSidecar <= kMaxTargets);
}

Cluster::~Cluster() = default;

bool
Cluster::Start(base::Millis aLimit)
{
  const base::TimePoint end = base::Clock::now() + aLimit;
  StartLog();
  const std::string rows = json::serialize(InstanceRows());
  std::vector<std::string> flags = mOptions.mInstancesFlags;
  flags.push_back("--instances=" + rows);
  mInstances = StartStandin("instances", "instances", Text(kInstancesPort), flags);
  mWeights = StartStandin("weights", "weights", Text(kWeightsPort), mOptions.mWeightsFlags);
  if (mOptions.mRelays) {
    mRelay = StartRelay();
  }
  for (size_t sidecar = 0; sidecar < Sidecars(); ++sidecar) {
    StartTargets(sidecar);
    StartSidecar(sidecar);
  }
  for (size_t entry = 0; entry < Entries(); ++entry) {
    StartEntry(entry);
  }
  const auto left = [end] {
    return std::chrono::duration_cast<base::Millis>(end - base::Clock::now());
  };
  bool ready = true;
  for (size_t sidecar = 0; sidecar < Sidecars(); ++sidecar) {
    ready = ready && WaitSidecarReady(sidecar, left());
  }
  for (size_t entry = 0; entry < Entries(); ++entry) {
    ready = ready && WaitEntryReady(entry, left());
  }
  return ready;
}

http::Endpoint
Cluster::At(uint16_t aPort) const
{
  return { mAddress, aPort };
}

std::string
Cluster::Text(uint16_t aPort) const
{
  return http::ToString(At(aPort));
}

http::Endpoint
Cluster::Entry(size_t aEntry) const
{
  return At(Port(kEntryHttpPort, aEntry));
}

http::Endpoint
Cluster::Sidecar(size_t aSidecar) const
{
  return At(Port(kSidecarHttpPort, aSidecar));
}

http::Endpoint
Cluster::Target(size_t aSidecar, size_t aTarget) const
{
  return At(Port(kTargetPort, aSidecar * kMaxTargets + aTarget));
}

http::Endpoint
Cluster::Log() const
{
  return At(kLogPort);
}

http::Endpoint
Cluster::InstanceList() const
{
  return At(kInstancesPort);
}

http::Endpoint
Cluster::WeightStore() const
{
  return At(kWeightsPort);
}

http::Endpoint
Cluster::RelayControl() const
{
  return At(kRelayPort);
}

std::string
Cluster::EntryName(size_t aEntry)
{
  return fmt::format("entry-{}", aEntry);
}

std::string
Cluster::SidecarName(size_t aSidecar)
{
  return fmt::format("sidecar-{}", aSidecar);
}

std::string
Cluster::Region(size_t aNumber) const
{
  return mOptions.mRegions.at(aNumber % mOptions.mRegions.size());
}

std::string
Cluster::PeerInList(size_t aNumber, uint16_t aPort, uint16_t aRelayPort) const
{
  return Text(Port(mOptions.mRelays ? aRelayPort : aPort, aNumber));
}

static json::object
InstanceRow(const std::string& aName,
            const std::string& aRole,
            const std::string& aRegion,
            const std::string& aAddress)
{
  return json::object{ { "name", aName },           { "role", aRole },       { "region", aRegion },
                       { "domain", aRegion + "1" }, { "address", aAddress }, { "state", "live" } };
}

json::array
Cluster::InstanceRows() const
{
  json::array rows;
  for (size_t entry = 0; entry < Entries(); ++entry) {
    const std::string address = PeerInList(entry, kEntryPeerPort, kEntryRelayPort);
    rows.push_back(InstanceRow(EntryName(entry), "entry", Region(entry), address));
  }
  for (size_t sidecar = 0; sidecar < Sidecars(); ++sidecar) {
    const std::string address = PeerInList(sidecar, kSidecarPeerPort, kSidecarRelayPort);
    rows.push_back(InstanceRow(SidecarName(sidecar), "sidecar", Region(sidecar), address));
  }
  return rows;
}

json::array
Cluster::LinkRows() const
{
  json::array rows;
  for (size_t to = 0; to < mOptions.mRegions.size(); ++to) {
    for (size_t from = 0; from < to; ++from) {
      rows.push_back(json::object{ { "from", mOptions.mRegions[from] },
                                   { "to", mOptions.mRegions[to] },
                                   { "delay_us", kLinkDelayMicros },
                                   { "cost_per_megabyte", 50 } });
    }
  }
  return rows;
}

json::object
Cluster::InstanceSettings(const std::string& aName, size_t aNumber) const
{
  const std::string region = Region(aNumber);
  return json::object{ { "instance", aName }, { "region", region }, { "domain", region + "1" } };
}

static void
AddFields(json::object& aSettings, const json::object& aFields)
{
  for (const auto& field : aFields) {
    aSettings[field.key()] = field.value();
  }
}

json::object
Cluster::EntrySettings(size_t aEntry) const
{
  json::object settings = InstanceSettings(EntryName(aEntry), aEntry);
  settings["role"] = "entry";
  settings["http"] = http::ToString(Entry(aEntry));
  settings["peer"] = Text(Port(kEntryPeerPort, aEntry));
  settings["log"] = Text(kLogPort);
  settings["instance_list"] = Text(kInstancesPort);
  settings["links"] = LinkRows();
  settings["partitions"] = mOptions.mPartitions;
  AddFields(settings, mOptions.mEntrySettings);
  return settings;
}

json::array
Cluster::TargetRows(size_t aSidecar) const
{
  const bool engine = IsEngineSidecar(aSidecar);
  json::array rows;
  for (size_t target = 0; target < mOptions.mTargetsPerSidecar; ++target) {
    const std::string service = engine ? mOptions.mEngineService : mOptions.mToolService;
    rows.push_back(json::object{ { "name", fmt::format("{}-{}-{}", service, aSidecar, target) },
                                 { "service", service },
                                 { "kind", engine ? "engine" : "tool" },
                                 { "checks_fence", engine && mOptions.mChecksFence },
                                 { "endpoint", http::ToString(Target(aSidecar, target)) } });
  }
  return rows;
}

json::object
Cluster::SidecarSettings(size_t aSidecar) const
{
  json::object settings = InstanceSettings(SidecarName(aSidecar), aSidecar);
  settings["role"] = "sidecar";
  settings["http"] = http::ToString(Sidecar(aSidecar));
  settings["peer"] = Text(Port(kSidecarPeerPort, aSidecar));
  settings["weight_store"] = Text(kWeightsPort);
  settings["targets"] = TargetRows(aSidecar);
  AddFields(settings, mOptions.mSidecarSettings);
  return settings;
}

Cluster::ProcessPtr
Cluster::StartStandin(const std::string& aName,
                      const std::string& aKind,
                      const std::string& aListen,
                      const std::vector<std::string>& aFlags) const
{
  std::vector<std::string> arguments{ aKind, "--listen=" + aListen };
  arguments.insert(arguments.end(), aFlags.begin(), aFlags.end());
  auto process =
    std::make_unique<Process>(StandinProgram(), arguments, mDirectory.Path() / (aName + ".log"));
  // The daemons find the stand-ins ready, so that their start does not depend on timing.
  process->WaitForOutput(" ready", kRequestTimeout);
  return process;
}

Cluster::ProcessPtr
Cluster::StartRelay() const
{
  std::vector<std::string> listen;
  std::vector<std::string> forward;
  for (size_t entry = 0; entry < Entries(); ++entry) {
    listen.push_back(Text(Port(kEntryRelayPort, entry)));
    forward.push_back(Text(Port(kEntryPeerPort, entry)));
  }
  for (size_t sidecar = 0; sidecar < Sidecars(); ++sidecar) {
    listen.push_back(Text(Port(kSidecarRelayPort, sidecar)));
    forward.push_back(Text(Port(kSidecarPeerPort, sidecar)));
  }
  const std::vector<std::string> flags{ fmt::format("--forward={}", fmt::join(forward, ",")),
                                        "--control=" + Text(kRelayPort) };
  return StartStandin("relay", "relay", fmt::format("{}", fmt::join(listen, ",")), flags);
}

Cluster::ProcessPtr
Cluster::StartDaemon(const std::string& aName, const json::object& aSettings) const
{
  const std::filesystem::path file = mDirectory.Path() / (aName + ".json");
  std::ofstream(file) << json::serialize(aSettings);
  return std::make_unique<Process>(DaemonProgram(),
                                   std::vector<std::string>{ "--settings=" + file.string() },
                                   mDirectory.Path() / (aName + ".log"));
}

void
Cluster::StartLog()
{
  mLog.reset();
  mLog = StartStandin("log", "log", Text(kLogPort), mOptions.mLogFlags);
}

void
Cluster::StartTargets(size_t aSidecar)
{
  const bool engine = IsEngineSidecar(aSidecar);
  std::vector<std::string> flags = engine ? mOptions.mEngineFlags : mOptions.mToolFlags;
  if (engine) {
    flags.push_back(fmt::format("--checks_fence={}", mOptions.mChecksFence));
  }
  std::vector<std::string> listen;
  for (size_t target = 0; target < mOptions.mTargetsPerSidecar; ++target) {
    listen.push_back(http::ToString(Target(aSidecar, target)));
  }
  mTargets.at(aSidecar).reset();
  mTargets.at(aSidecar) = StartStandin(fmt::format("targets-{}", aSidecar),
                                       engine ? "engine" : "tool",
                                       fmt::format("{}", fmt::join(listen, ",")),
                                       flags);
}

void
Cluster::StartSidecar(size_t aSidecar)
{
  mSidecars.at(aSidecar).reset();
  mSidecars.at(aSidecar) = StartDaemon(SidecarName(aSidecar), SidecarSettings(aSidecar));
}

void
Cluster::StartEntry(size_t aEntry)
{
  mEntries.at(aEntry).reset();
  mEntries.at(aEntry) = StartDaemon(EntryName(aEntry), EntrySettings(aEntry));
}

// Whether GET aPath is answered with status 200.
static bool
AnswersOk(const http::Endpoint& aEndpoint, const std::string& aPath)
{
  http::Client client(aEndpoint, kRequestTimeout);
  http::ClientRequest request;
  request.mTarget = aPath;
  const auto response = client.Perform(request);
  return base::IsOk(response) && base::ValueOf(response).mStatus == kOk;
}

bool
Cluster::WaitEntryReady(size_t aEntry, base::Millis aLimit) const
{
  return WaitUntil(aLimit, [this, aEntry] { return AnswersOk(Entry(aEntry), "/readyz"); });
}

bool
Cluster::WaitSidecarReady(size_t aSidecar, base::Millis aLimit) const
{
  return WaitUntil(aLimit, [this, aSidecar] { return AnswersOk(Sidecar(aSidecar), "/readyz"); });
}

bool
Cluster::Control(const http::Endpoint& aStandin, const json::object& aControl)
{
  http::Client client(aStandin, kRequestTimeout);
  http::ClientRequest request;
  request.mMethod = "POST";
  request.mTarget = "/control";
  request.mBody = json::serialize(aControl);
  const auto response = client.Perform(request);
  return base::IsOk(response) && base::ValueOf(response).mStatus == kOk;
}

bool
Cluster::ControlEntryRelay(size_t aEntry, json::object aControl) const
{
  aControl["link"] = Text(Port(kEntryRelayPort, aEntry));
  return Control(RelayControl(), aControl);
}

bool
Cluster::ControlSidecarRelay(size_t aSidecar, json::object aControl) const
{
  aControl["link"] = Text(Port(kSidecarRelayPort, aSidecar));
  return Control(RelayControl(), aControl);
}

json::object
Cluster::Read(const http::Endpoint& aEndpoint, const std::string& aPath)
{
  http::Client client(aEndpoint, kRequestTimeout);
  http::ClientRequest request;
  request.mTarget = aPath;
  const auto response = client.Perform(request);
  if (!base::IsOk(response) || base::ValueOf(response).mStatus != kOk) {
    return {};
  }
  auto object = ParseObject(base::ValueOf(response).mBody);
  return base::IsOk(object) ? base::TakeValue(std::move(object)) : json::object{};
}

json::object
Cluster::Stats(const http::Endpoint& aStandin)
{
  return Read(aStandin, "/stats");
}

bool
Cluster::SetInstanceState(const std::string& aName, const std::string& aState) const
{
  const json::object row{ { "name", aName }, { "state", aState } };
  return Control(InstanceList(), json::object{ { "set", row } });
}

bool
Cluster::RemoveInstance(const std::string& aName) const
{
  return Control(InstanceList(), json::object{ { "remove", aName } });
}

// The end of a file, cut at a line.
static std::string
TailOf(const std::filesystem::path& aFile)
{
  constexpr size_t kTailBytes = 2000;
  std::ifstream file(aFile, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (text.size() > kTailBytes) {
    text.erase(0, text.find('\n', text.size() - kTailBytes) + 1);
  }
  return text;
}

std::string
Cluster::Outputs() const
{
  std::vector<std::filesystem::path> files;
  for (const auto& item : std::filesystem::directory_iterator(mDirectory.Path())) {
    if (item.path().extension() == ".log") {
      files.push_back(item.path());
    }
  }
  std::sort(files.begin(), files.end());
  std::string text;
  for (const auto& file : files) {
    text += fmt::format("== {}\n{}", file.filename().string(), TailOf(file));
  }
  return text;
}

}

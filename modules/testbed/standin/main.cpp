#include "sycamore/base/log.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/testbed/engine_standin.h"
#include "sycamore/testbed/instances_standin.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/log_standin.h"
#include "sycamore/testbed/relay.h"
#include "sycamore/testbed/relay_standin.h"
#include "sycamore/testbed/standin_host.h"
#include "sycamore/testbed/tool_standin.h"
#include "sycamore/testbed/weights_standin.h"

#include <csignal>
#include <functional>
#include <gflags/gflags.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace sycamore;

DEFINE_string(listen, "127.0.0.1:0", "Endpoints, separated by commas; one stand-in on each.");
DEFINE_int32(latency_ms, 0, "Delay of each request.");
DEFINE_double(appends_per_second, 500, "log: appends of all streams together; 0: no limit.");
DEFINE_uint64(retain_records, 0, "log: records kept per stream; 0: no limit.");
DEFINE_uint64(retain_bytes, 256 << 20, "log: bytes kept per stream; 0: no limit.");
DEFINE_int64(retain_age_ms, 0, "log: age of records kept; 0: no limit.");
DEFINE_string(instances, "[]", "instances: JSON array of rows.");
DEFINE_int32(lag_ms, 0, "instances: delay until a change is visible.");
DEFINE_double(slots_per_second, 1, "weights: slots granted; 0: no limit.");
DEFINE_double(burst, 1, "weights: slots granted at once.");
DEFINE_int32(delay_ms, 0, "tool: duration of each run.");
DEFINE_double(speed_up, 1, "engine: simulated time per real time.");
DEFINE_double(decode_tokens_per_second, 50, "engine: rate of a call alone in the batch.");
DEFINE_double(batch_slowdown, 0.02, "engine: longer decode step per further call.");
DEFINE_double(prefill_tokens_per_second, 8000, "engine: prompt tokens computed.");
DEFINE_uint64(prefill_chunk_tokens, 512, "engine: prompt tokens per step at most.");
DEFINE_uint32(max_batch, 32, "engine: calls running at the same time.");
DEFINE_uint32(max_queued, 10000, "engine: further calls are refused.");
DEFINE_uint64(cache_tokens, 200000, "engine: memory in tokens.");
DEFINE_uint64(answer_tokens, 0, "engine: length of an answer; 0: max_tokens.");
DEFINE_bool(checks_fence, true, "engine: rejects old versions and fencing tokens.");
DEFINE_int32(load_interval_ms, 500, "engine: age at which the load report is taken anew.");
DEFINE_int32(cache_event_delay_ms, 500, "engine: delay of cache events.");
DEFINE_double(cache_event_gap, 0.05, "engine: share of cache events that are lost.");
DEFINE_int32(model_load_ms, 2000, "engine: time to load a model.");
DEFINE_string(forward, "", "relay: destinations, one for each endpoint of --listen.");
DEFINE_string(control, "127.0.0.1:0", "relay: endpoint of POST /control and GET /stats.");
DEFINE_uint64(seed, 1, "engine: seed for the choice of lost events.");

using Factory = std::function<std::unique_ptr<testbed::Standin>()>;

static testbed::LogSettings
LogSettingsOfFlags()
{
  testbed::LogSettings settings;
  settings.mAppendsPerSecond = FLAGS_appends_per_second;
  settings.mRetainRecords = FLAGS_retain_records;
  settings.mRetainBytes = FLAGS_retain_bytes;
  settings.mRetainAge = base::Millis(FLAGS_retain_age_ms);
  return settings;
}

static testbed::EngineSettings
EngineSettingsOfFlags()
{
  testbed::EngineSettings settings;
  settings.mSpeedUp = FLAGS_speed_up;
  settings.mDecodeTokensPerSecond = FLAGS_decode_tokens_per_second;
  settings.mBatchSlowdown = FLAGS_batch_slowdown;
  settings.mPrefillTokensPerSecond = FLAGS_prefill_tokens_per_second;
  settings.mPrefillChunkTokens = FLAGS_prefill_chunk_tokens;
  settings.mMaxBatch = FLAGS_max_batch;
  settings.mMaxQueued = FLAGS_max_queued;
  settings.mCacheTokens = FLAGS_cache_tokens;
  settings.mAnswerTokens = FLAGS_answer_tokens;
  settings.mChecksFence = FLAGS_checks_fence;
  settings.mLoadInterval = base::Millis(FLAGS_load_interval_ms);
  settings.mEventDelay = base::Millis(FLAGS_cache_event_delay_ms);
  settings.mEventGap = FLAGS_cache_event_gap;
  settings.mModelLoadTime = base::Millis(FLAGS_model_load_ms);
  settings.mSeed = FLAGS_seed;
  return settings;
}

static std::optional<boost::json::array>
InstancesOfFlags()
{
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(FLAGS_instances, error);
  if (error || !value.is_array()) {
    return std::nullopt;
  }
  return value.get_array();
}

// The function that makes the stand-ins of a sub-command; empty if the arguments are invalid.
static Factory
FactoryFor(std::string_view aKind)
{
  if (aKind == "log") {
    return [] { return std::make_unique<testbed::LogStandin>(LogSettingsOfFlags()); };
  }
  if (aKind == "weights") {
    return
      [] { return std::make_unique<testbed::WeightsStandin>(FLAGS_slots_per_second, FLAGS_burst); };
  }
  if (aKind == "engine" && FLAGS_speed_up > 0) {
    return [] { return std::make_unique<testbed::EngineStandin>(EngineSettingsOfFlags()); };
  }
  if (aKind == "tool") {
    return [] { return std::make_unique<testbed::ToolStandin>(base::Millis(FLAGS_delay_ms)); };
  }
  const auto instances = InstancesOfFlags();
  if (aKind == "instances" && instances) {
    return [rows = *instances] {
      return std::make_unique<testbed::InstancesStandin>(rows, base::Millis(FLAGS_lag_ms));
    };
  }
  return {};
}

static std::vector<std::string>
SplitAtCommas(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::string_view part = aText.substr(0, aText.find(','));
    parts.emplace_back(part);
    aText.remove_prefix(part.size() == aText.size() ? part.size() : part.size() + 1);
  }
  return parts;
}

// Logs an invalid endpoint or one that cannot be bound.
static void
LogError(std::string_view aEndpoint, const base::Error& aError)
{
  base::Log(base::LogEvent::SettingsInvalid, "{}: {}", aEndpoint, aError.mMessage);
}

// Serves aStandin; the log line is what test fixtures wait for.
static bool
AddStandin(testbed::StandinHost& aHost,
           std::unique_ptr<testbed::Standin> aStandin,
           std::string_view aKind,
           std::string_view aListen)
{
  const auto endpoint = http::ParseEndpoint(aListen);
  const auto bound =
    base::IsOk(endpoint)
      ? aHost.Add(std::move(aStandin), base::ValueOf(endpoint), base::Millis(FLAGS_latency_ms))
      : endpoint;
  if (!base::IsOk(bound)) {
    LogError(aListen, base::ErrorOf(bound));
    return false;
  }
  base::Log(base::LogEvent::StandinStarted,
            "{} listening on {}",
            aKind,
            http::ToString(base::ValueOf(bound)));
  return true;
}

static bool
AddStandins(testbed::StandinHost& aHost, std::string_view aKind)
{
  const Factory factory = FactoryFor(aKind);
  if (!factory) {
    base::Log(base::LogEvent::SettingsInvalid,
              "unknown stand-in \"{}\" or invalid flags; see standin --help",
              aKind);
    return false;
  }
  for (const std::string& listen : SplitAtCommas(FLAGS_listen)) {
    if (!AddStandin(aHost, factory(), aKind, listen)) {
      return false;
    }
  }
  return true;
}

// Adds one link; returns the name that control requests use, or an empty string.
static std::string
AddLink(testbed::Relay& aRelay, std::string_view aListen, std::string_view aForward)
{
  const auto listen = http::ParseEndpoint(aListen);
  const auto forward = http::ParseEndpoint(aForward);
  if (!base::IsOk(listen) || !base::IsOk(forward)) {
    LogError(aListen, base::ErrorOf(base::IsOk(listen) ? forward : listen));
    return "";
  }
  const auto bound = aRelay.Add(base::ValueOf(listen), base::ValueOf(forward));
  if (!base::IsOk(bound)) {
    LogError(aListen, base::ErrorOf(bound));
    return "";
  }
  const std::string name = http::ToString(base::ValueOf(bound));
  base::Log(base::LogEvent::StandinStarted, "link listening on {}", name);
  return name;
}

static bool
AddRelay(testbed::StandinHost& aHost)
{
  const auto listens = SplitAtCommas(FLAGS_listen);
  const auto forwards = SplitAtCommas(FLAGS_forward);
  if (listens.size() != forwards.size()) {
    base::Log(base::LogEvent::SettingsInvalid, "--listen and --forward differ in length");
    return false;
  }
  const auto relay = std::make_shared<testbed::Relay>();
  std::vector<std::string> names;
  for (size_t i = 0; i < listens.size(); ++i) {
    names.push_back(AddLink(*relay, listens[i], forwards[i]));
    if (names.back().empty()) {
      return false;
    }
  }
  auto standin = std::make_unique<testbed::RelayStandin>(relay, std::move(names));
  return AddStandin(aHost, std::move(standin), "relay", FLAGS_control);
}

int
main(int argc, char** argv)
{
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  gflags::SetUsageMessage("standin log|instances|weights|engine|tool|relay [flags]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string_view kind = argc == 2 ? argv[1] : "";
  base::SetLogInstance("standin");
  testbed::StandinHost host;
  if (!(kind == "relay" ? AddRelay(host) : AddStandins(host, kind))) {
    return 1;
  }
  host.Start();
  base::Log(base::LogEvent::StandinStarted, "{} ready", kind);
  int signal = 0;
  sigwait(&signals, &signal);
  host.Stop();
  return 0;
}

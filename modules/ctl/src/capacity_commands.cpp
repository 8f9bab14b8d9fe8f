#include "flags.h"
#include "groups.h"
#include "request.h"
#include "sycamore/base/parse_number.h"
#include "sycamore/bench/chart.h"
#include "sycamore/capacity/store_load.h"

#include <fmt/format.h>
#include <optional>
#include <sstream>
#include <utility>

namespace sycamore::ctl {

using capacity::Collection;

static constexpr base::Millis kSimulatedTime{ 10000 };
static constexpr uint64_t kDefaultSeed = 1;
// Larger fleets take minutes to simulate.
static constexpr uint64_t kMaxGateways = 5000;

static std::optional<std::vector<uint32_t>>
ParseGateways(const std::string& aText)
{
  std::vector<uint32_t> numbers;
  std::istringstream stream(aText);
  for (std::string word; std::getline(stream, word, ',');) {
    const auto number = base::ParseNumber(word);
    if (!number || *number < capacity::FleetModel{}.mDomains || *number > kMaxGateways) {
      return std::nullopt;
    }
    numbers.push_back(static_cast<uint32_t>(*number));
  }
  return numbers.empty() ? std::nullopt : std::optional(std::move(numbers));
}

static std::string
Row(std::string_view aPolicy, uint32_t aGateways, const capacity::StoreLoad& aLoad)
{
  return fmt::format("{:<12} {:>8} {:>11.2f} {:>10} {:>10} {:>12} {:>11.3f}\n",
                     aPolicy,
                     aGateways,
                     aLoad.mCallsPerTurn,
                     aLoad.mCommitMedian.count(),
                     aLoad.mCommitP95.count(),
                     aLoad.mReadLagP95.count(),
                     aLoad.mReadShare);
}

static ExitCode
ModelStoreLoad(const Invocation& aInvocation)
{
  const auto numbers = ParseGateways(FLAGS_gateways);
  if (!numbers || FLAGS_turns_per_s <= 0) {
    return UsageError(
      aInvocation.mTerminal,
      fmt::format("--gateways takes numbers from {} to {}, --turns_per_s one above 0",
                  capacity::FleetModel{}.mDomains,
                  kMaxGateways));
  }
  const uint64_t seed = FLAGS_seed < 0 ? kDefaultSeed : static_cast<uint64_t>(FLAGS_seed);
  aInvocation.mTerminal.mOut(fmt::format("{:<12} {:>8} {:>11} {:>10} {:>10} {:>12} {:>11}\n",
                                         "collection",
                                         "gateways",
                                         "calls/turn",
                                         "commit ms",
                                         "p95 ms",
                                         "read lag ms",
                                         "read share"));
  std::vector<bench::Series> commits;
  for (const auto& [collection, name] : { std::pair(Collection::EachGateway, "each"),
                                          std::pair(Collection::Aggregators, "aggregators") }) {
    bench::Series series{ name, {} };
    for (const uint32_t gateways : *numbers) {
      capacity::FleetModel fleet;
      fleet.mCollection = collection;
      fleet.mGateways = gateways;
      fleet.mTurnsPerSecond = FLAGS_turns_per_s;
      const auto load =
        capacity::SimulateStoreLoad(fleet, capacity::StoreModel{}, kSimulatedTime, seed);
      aInvocation.mTerminal.mOut(Row(name, gateways, load));
      series.mPoints.emplace_back(gateways, static_cast<double>(load.mCommitP95.count()));
    }
    commits.push_back(std::move(series));
  }
  if (FLAGS_out.empty()) {
    return ExitCode::Ok;
  }
  const std::string chart =
    bench::LineChart("Commit of a turn, 95th percentile", "gateways", "ms", commits);
  return WriteFile(FLAGS_out + ".svg", chart, aInvocation.mTerminal) ? ExitCode::Ok
                                                                     : ExitCode::Usage;
}

std::vector<Command>
CapacityCommands()
{
  return { { "capacity store",
             "",
             "Models the load of a fleet's gateways on the store, with and without aggregators.",
             { "gateways", "turns_per_s", "seed", "out" },
             ModelStoreLoad } };
}

}

#include "sycamore/bench/compare.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <numeric>
#include <utility>

namespace sycamore::bench {

// Values of one metric by label; labels in the order of their first run.
using Values = std::vector<std::pair<std::string, std::vector<double>>>;

static void
Add(Values& aValues, const std::string& aLabel, double aValue)
{
  const auto found = std::find_if(
    aValues.begin(), aValues.end(), [&](const auto& aPair) { return aPair.first == aLabel; });
  if (found == aValues.end()) {
    aValues.emplace_back(aLabel, std::vector{ aValue });
  } else {
    found->second.push_back(aValue);
  }
}

// The metrics of one account, or of the total.
static std::vector<std::pair<std::string, double>>
MetricsOf(const boost::json::object& aRecord)
{
  std::vector<std::pair<std::string, double>> metrics;
  const auto add = [&](const std::string& aName, const boost::json::value& aValue) {
    metrics.emplace_back(aName, aValue.to_number<double>());
  };
  const auto account = std::string(aRecord.at("account").as_string());
  for (const char* group : { "latency_ms", "waiting_ms", "first_token_ms" }) {
    const boost::json::object& distribution = aRecord.at(group).as_object();
    for (const char* key : { "mean", "p50", "p95", "p99" }) {
      add(fmt::format("{} {} {}", account, group, key), distribution.at(key));
    }
  }
  for (const char* key : { "done", "failed", "unfinished" }) {
    add(fmt::format("{} programs {}", account, key), aRecord.at("programs").as_object().at(key));
  }
  add(account + " refused", aRecord.at("refused"));
  add(account + " retried", aRecord.at("retried"));
  return metrics;
}

static std::vector<std::pair<std::string, double>>
AllMetrics(const boost::json::object& aSummary)
{
  auto metrics = MetricsOf(aSummary.at("total").as_object());
  for (const auto& member : aSummary.at("engines").as_object()) {
    metrics.emplace_back("engines " + std::string(member.key()),
                         member.value().to_number<double>());
  }
  for (const auto& account : aSummary.at("accounts").as_array()) {
    const auto more = MetricsOf(account.as_object());
    metrics.insert(metrics.end(), more.begin(), more.end());
  }
  return metrics;
}

static double
MeanOf(const std::vector<double>& aValues)
{
  return std::accumulate(aValues.begin(), aValues.end(), 0.0) / static_cast<double>(aValues.size());
}

static void
AddRatios(const std::string& aMetric, const Values& aValues, std::vector<Ratio>& aOut)
{
  const std::vector<double>& base = aValues.front().second;
  const double baseMean = MeanOf(base);
  if (baseMean == 0) {
    return;
  }
  const auto [baseLeast, baseGreatest] = std::minmax_element(base.begin(), base.end());
  for (const auto& [label, values] : aValues) {
    const auto [least, greatest] = std::minmax_element(values.begin(), values.end());
    const double mean = MeanOf(values);
    aOut.push_back({ aMetric,
                     label,
                     values.size(),
                     mean,
                     mean / baseMean,
                     *least / baseMean,
                     *greatest / baseMean,
                     *least > *baseGreatest || *greatest < *baseLeast });
  }
}

std::vector<Ratio>
CompareRuns(const std::vector<boost::json::object>& aSummaries)
{
  std::vector<std::string> order;
  std::map<std::string, Values> byMetric;
  for (const boost::json::object& summary : aSummaries) {
    const auto label = std::string(summary.at("label").as_string());
    for (const auto& [metric, value] : AllMetrics(summary)) {
      if (!byMetric.contains(metric)) {
        order.push_back(metric);
      }
      Add(byMetric[metric], label, value);
    }
  }
  std::vector<Ratio> ratios;
  for (const std::string& metric : order) {
    AddRatios(metric, byMetric[metric], ratios);
  }
  return ratios;
}

std::string
RatioText(const std::vector<Ratio>& aRatios)
{
  std::string text = fmt::format("{:<44} {:<16} {:>4} {:>12} {:>7}  {:<16} {}\n",
                                 "metric",
                                 "label",
                                 "runs",
                                 "mean",
                                 "ratio",
                                 "least..greatest",
                                 "ranges apart");
  for (const Ratio& ratio : aRatios) {
    text += fmt::format("{:<44} {:<16} {:>4} {:>12.1f} {:>7.3f}  {:<16} {}\n",
                        ratio.mMetric,
                        ratio.mLabel,
                        ratio.mRuns,
                        ratio.mMean,
                        ratio.mRatio,
                        fmt::format("{:.3f}..{:.3f}", ratio.mLeast, ratio.mGreatest),
                        ratio.mDistinct ? "yes" : "");
  }
  return text;
}

}

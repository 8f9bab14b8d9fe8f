#include "sycamore/bench/chart.h"

#include "sycamore/bench/summary.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sycamore::bench {

static constexpr double kWidth = 760;
static constexpr double kHeight = 320;
static constexpr double kLeft = 70;
static constexpr double kRight = 20;
static constexpr double kTop = 34;
static constexpr double kBottom = 48;
static constexpr int kTicks = 5;

// Colours that remain distinct for most kinds of colour blindness.
static constexpr std::string_view kColours[] = { "#0072b2", "#d55e00", "#009e73",
                                                 "#cc79a7", "#e69f00", "#56b4e9" };

struct Extent
{
  double mMaxX = 0;
  double mMaxY = 0;

  double X(double aValue) const { return kLeft + aValue / mMaxX * (kWidth - kLeft - kRight); }
  double Y(double aValue) const
  {
    return kHeight - kBottom - aValue / mMaxY * (kHeight - kTop - kBottom);
  }
};

static std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

// The next number of the form 1, 2 or 5 times a power of ten, so that ticks are round.
static double
RoundUp(double aValue)
{
  if (aValue <= 0) {
    return 1;
  }
  const double power = std::pow(10, std::floor(std::log10(aValue)));
  for (const double factor : { 1.0, 2.0, 5.0 }) {
    if (aValue <= factor * power) {
      return factor * power;
    }
  }
  return 10 * power;
}

static Extent
ExtentOf(const std::vector<Series>& aSeries)
{
  Extent extent;
  for (const Series& series : aSeries) {
    for (const auto& [x, y] : series.mPoints) {
      extent.mMaxX = std::max(extent.mMaxX, x);
      extent.mMaxY = std::max(extent.mMaxY, y);
    }
  }
  return { RoundUp(extent.mMaxX), RoundUp(extent.mMaxY) };
}

static std::string
Text(double aX, double aY, std::string_view aAnchor, std::string_view aText)
{
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n",
                     aX,
                     aY,
                     aAnchor,
                     Escape(aText));
}

static std::string
Line(double aX1, double aY1, double aX2, double aY2)
{
  return fmt::format(
    "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#ddd\"/>\n",
    aX1,
    aY1,
    aX2,
    aY2);
}

static std::string
Axes(const Extent& aExtent)
{
  std::string svg;
  for (int i = 0; i <= kTicks; ++i) {
    const double share = static_cast<double>(i) / kTicks;
    const double x = aExtent.X(share * aExtent.mMaxX);
    const double y = aExtent.Y(share * aExtent.mMaxY);
    svg += Line(x, kTop, x, kHeight - kBottom) + Line(kLeft, y, kWidth - kRight, y);
    svg += Text(x, kHeight - kBottom + 16, "middle", fmt::format("{:g}", share * aExtent.mMaxX));
    svg += Text(kLeft - 6, y + 4, "end", fmt::format("{:g}", share * aExtent.mMaxY));
  }
  return svg;
}

static std::string
Curve(const Series& aSeries, const Extent& aExtent, size_t aIndex)
{
  const std::string_view colour = kColours[aIndex % std::size(kColours)];
  std::string points;
  for (const auto& [x, y] : aSeries.mPoints) {
    points += fmt::format("{:.1f},{:.1f} ", aExtent.X(x), aExtent.Y(y));
  }
  const double legend = kTop + 14 + 16 * static_cast<double>(aIndex);
  return fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.6\" points=\"{}\"/>\n"
                     "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"12\" height=\"3\" fill=\"{}\"/>\n",
                     colour,
                     points,
                     kLeft + 10,
                     legend - 5,
                     colour) +
         Text(kLeft + 28, legend, "start", aSeries.mName);
}

std::string
LineChart(std::string_view aTitle,
          std::string_view aXLabel,
          std::string_view aYLabel,
          const std::vector<Series>& aSeries)
{
  const Extent extent = ExtentOf(aSeries);
  std::string svg =
    fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {}\" width=\"{}\" "
                "font-family=\"sans-serif\" font-size=\"12\">\n",
                kWidth,
                kHeight,
                kWidth);
  svg += Text(kWidth / 2, 18, "middle", aTitle) + Axes(extent);
  svg += Text((kLeft + kWidth - kRight) / 2, kHeight - 10, "middle", aXLabel);
  svg +=
    fmt::format("<g transform=\"rotate(-90)\">{}</g>\n", Text(-kHeight / 2, 14, "middle", aYLabel));
  for (size_t i = 0; i < aSeries.size(); ++i) {
    svg += Curve(aSeries[i], extent, i);
  }
  return svg + "</svg>\n";
}

// Share of values at most x, over x.
static Series
Cumulative(const std::string& aName, std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  Series series{ aName, { { 0, 0 } } };
  for (size_t i = 0; i < aValues.size(); ++i) {
    const double share = static_cast<double>(i + 1) / static_cast<double>(aValues.size());
    series.mPoints.emplace_back(aValues[i] / 1000, share);
  }
  return series;
}

// Events per second, in about 60 bins.
static Series
PerSecond(const std::string& aName, const std::vector<double>& aTimes, double aElapsed)
{
  constexpr size_t kBins = 60;
  const double bin = std::max(1.0, aElapsed / kBins);
  std::vector<double> counts(static_cast<size_t>(aElapsed / bin) + 1);
  for (const double time : aTimes) {
    const auto index = static_cast<size_t>(std::max(0.0, time) / bin);
    counts[std::min(index, counts.size() - 1)] += 1 / bin;
  }
  Series series{ aName, {} };
  for (size_t i = 0; i < counts.size(); ++i) {
    series.mPoints.emplace_back((static_cast<double>(i) + 0.5) * bin, counts[i]);
  }
  return series;
}

std::string
ReportPage(const Mix& aMix, const RunRecord& aRecord, const boost::json::object& aSummary)
{
  std::vector<Series> latency;
  std::vector<Series> firstToken;
  for (size_t i = 0; i < aRecord.mAccounts.size(); ++i) {
    latency.push_back(Cumulative(aMix.mAccounts[i].mName, aRecord.mAccounts[i].mWaiting));
    firstToken.push_back(Cumulative(aMix.mAccounts[i].mName, aRecord.mAccounts[i].mFirstToken));
  }
  const double elapsed = static_cast<double>(aRecord.mElapsed.count()) / 1000;
  const std::string title = Escape(aMix.mName);
  return fmt::format(
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{}</title></head>\n"
    "<body>\n<h1>{}</h1>\n{}{}{}<pre>{}</pre>\n</body></html>\n",
    title,
    title,
    LineChart("Programs",
              "s",
              "per second",
              { PerSecond("arrived", aRecord.mArrivals, elapsed),
                PerSecond("finished", aRecord.mFinishes, elapsed) }),
    LineChart("Program latency without own pauses", "s", "share of programs", latency),
    LineChart("Time to first token", "s", "share of calls", firstToken),
    Escape(SummaryText(aSummary)));
}

}

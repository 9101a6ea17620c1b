#include "bench/policy/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace pistachio::bench {

namespace internal {

constexpr double kHeight = 300;
constexpr double kLeft = 70;
constexpr double kTop = 60;
constexpr double kBarWidth = 13;
constexpr double kGap = 24;
constexpr const char* kColours[] = {"#bbbbbb", "#999999", "#777777", "#555555",
                                    "#333333", "#2a7fbf", "#e08a1e"};

class Axis {
 public:
  explicit Axis(const BarChart& chart) : logarithmic(chart.logarithmic) {
    double smallest = 0.0;
    for (const auto& group : chart.bars) {
      for (const Spread& bar : group) {
        this->largest = std::max(this->largest, bar.high);
        smallest = smallest == 0.0 ? bar.low : std::min(smallest, std::max(bar.low, 1e-3));
      }
    }
    this->largest = std::max(this->largest, 1e-3);
    if (this->logarithmic) {
      this->lowest = std::pow(10.0, std::floor(std::log10(std::max(smallest, 1e-3))));
    }
  }

  double Y(double value) const {
    double share = value / this->largest;
    if (this->logarithmic) {
      const double decades = std::log10(this->largest / this->lowest);
      share = std::log10(std::max(value, this->lowest) / this->lowest) / decades;
    }
    return kTop + kHeight * (1.0 - share);
  }

  std::vector<double> Ticks() const {
    std::vector<double> ticks;
    if (this->logarithmic) {
      for (double tick = this->lowest; tick <= this->largest; tick *= 10.0) {
        ticks.push_back(tick);
        ticks.push_back(3.0 * tick);
      }
      return ticks;
    }
    constexpr int kSteps = 4;
    for (int step = 0; step <= kSteps; ++step) {
      ticks.push_back(this->largest * step / kSteps);
    }
    return ticks;
  }

 private:
  bool logarithmic;
  double lowest = 0.0;
  double largest = 0.0;
};

std::string DrawBar(const Axis& axis, const Spread& bar, double x, const char* colour) {
  const double y = axis.Y(bar.mean);
  const double middle = x + kBarWidth / 2;
  std::string svg = fmt::format(
      "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" fill=\"{}\"/>\n", x, y,
      kBarWidth - 1, kTop + kHeight - y, colour);
  svg += fmt::format(
      "<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1:.1f}\" y2=\"{2:.1f}\" stroke=\"#c00\"/>\n",
      middle, axis.Y(bar.low), axis.Y(bar.high));
  return svg;
}

std::string DrawAxis(const Axis& axis, double width) {
  std::string svg;
  for (const double tick : axis.Ticks()) {
    const double y = axis.Y(tick);
    if (y < kTop - 1) {
      continue;
    }
    svg += fmt::format(
        "<line x1=\"{:.0f}\" x2=\"{:.0f}\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#ddd\"/>\n", kLeft,
        width, y, y);
    svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.1f}\" text-anchor=\"end\">{:.4g}</text>\n",
                       kLeft - 6, y + 4, tick);
  }
  return svg;
}

std::string DrawLegend(const BarChart& chart) {
  constexpr double kStep = 120;
  std::string svg;
  for (std::size_t i = 0; i < chart.names.size(); ++i) {
    const double x = kLeft + kStep * static_cast<double>(i);
    svg += fmt::format(
        "<rect x=\"{:.0f}\" y=\"34\" width=\"10\" height=\"10\" fill=\"{}\"/>"
        "<text x=\"{:.0f}\" y=\"43\">{}</text>\n",
        x, kColours[i % std::size(kColours)], x + 14, chart.names[i]);
  }
  return svg;
}

}  // namespace internal

std::string DrawSvg(const BarChart& chart) {
  using internal::kBarWidth, internal::kGap, internal::kLeft, internal::kTop;
  const double group = kBarWidth * static_cast<double>(chart.names.size()) + kGap;
  const double width = kLeft + group * static_cast<double>(chart.labels.size()) + kGap;
  const internal::Axis axis(chart);
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" height=\"{:.0f}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      "<text x=\"{:.0f}\" y=\"20\" font-size=\"14\">{}</text>\n",
      width, kTop + internal::kHeight + 40, kLeft, chart.title);
  svg += internal::DrawLegend(chart);
  svg += internal::DrawAxis(axis, width);
  for (std::size_t label = 0; label < chart.labels.size(); ++label) {
    const double left = kLeft + kGap / 2 + group * static_cast<double>(label);
    for (std::size_t name = 0; name < chart.names.size(); ++name) {
      svg += internal::DrawBar(axis, chart.bars[label][name],
                               left + kBarWidth * static_cast<double>(name),
                               internal::kColours[name % std::size(internal::kColours)]);
    }
    svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">{}</text>\n", left,
                       kTop + internal::kHeight + 18, chart.labels[label]);
  }
  return svg + "</svg>\n";
}

}  // namespace pistachio::bench

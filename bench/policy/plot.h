#pragma once

#include <string>
#include <vector>

#include "bench/policy/report.h"

namespace pistachio::bench {

/// \brief A bar chart: one group of bars for each label, one bar for each contestant.
struct BarChart {
  std::string title;
  std::vector<std::string> labels;
  std::vector<std::string> names;
  std::vector<std::vector<Spread>> bars;  ///< by label, then name
  bool logarithmic = false;
};

/// \returns the chart as an SVG document; whiskers go from the smallest seed to the largest.
std::string DrawSvg(const BarChart& chart);

}  // namespace pistachio::bench

#pragma once

#include <map>
#include <string>
#include <vector>

#include "bench/policy/simulation.h"

namespace pistachio::bench {

/// \brief Results by scenario, then contestant, then seed.
struct ReportData {
  std::vector<std::string> names;   ///< contestants
  std::vector<std::string> labels;  ///< deployment and scenario, in order
  std::map<std::string, std::vector<std::vector<RunResult>>> runs;

  /// \brief Adds one seed's results, one for each contestant.
  void Add(const std::string& label, const std::vector<RunResult>& results);
};

/// \brief One column of the tables.
struct Metric {
  const char* name;
  const char* unit;
  int decimals;
  double (*value)(const RunResult&);
};

/// \returns the metrics, in the order of the tables.
const std::vector<Metric>& Metrics();

/// \brief Mean, smallest and largest over seeds.
struct Spread {
  double mean = 0.0;
  double low = 0.0;
  double high = 0.0;
};

Spread SpreadOf(const std::vector<RunResult>& runs, const Metric& metric);

/// \brief Prints means to standard output. \returns the exit status.
int PrintTable(const ReportData& data);

/// \brief Writes results.json, the page and its plots. \returns the exit status.
int WriteReport(const ReportData& data, const std::string& folder, int seeds);

}  // namespace pistachio::bench

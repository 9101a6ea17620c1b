#pragma once

#include <optional>
#include <string>

#include "bench/policy/report.h"

namespace pistachio::bench {

/// \brief How the product's policy stands against the stated targets in one scenario.
struct Verdict {
  double p99_over_best = 0.0;         ///< its p99 over the lowest of a baseline; below 1 is met
  double misses_over_best = 0.0;      ///< its misses over the lowest of a baseline; below 1 is met
  double batch_over_best = 0.0;       ///< its batch work over the highest of a baseline; from 0.95
  double evictions_over_limit = 0.0;  ///< its evictions less 1.1 times the fewest of a baseline
  double p99_way = 0.0;     ///< share of the way from the best baseline to the knowing policy
  double misses_way = 0.0;  ///< likewise for misses

  bool IsMet() const;
};

/// \returns the verdict, or nothing if the data lacks a baseline, the product's or the knowing one.
std::optional<Verdict> Judge(const ReportData& data, const std::string& label);

}  // namespace pistachio::bench

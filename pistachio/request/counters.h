#pragma once

#include <cstdint>

namespace pistachio {

/// \brief What a broker has done since its start, for the metrics.
struct BrokerCounters {
  std::uint64_t arrived = 0;
  std::uint64_t joined = 0;
  std::uint64_t refused = 0;  ///< without being taken in

  /// \name Outcomes told to callers, refusals included.
  ///@{
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t deadline_passed = 0;
  std::uint64_t answered_before = 0;
  ///@}

  /// \name Attempts sent.
  ///@{
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;   ///< paid by the budget
  std::uint64_t hedges = 0;    ///< paid by the budget
  std::uint64_t reroutes = 0;  ///< replace an attempt of which no byte left
  ///@}

  std::uint64_t budget_exhausted = 0;  ///< extra attempts that were not made
  std::uint64_t abandoned = 0;
  std::uint64_t late_answers = 0;       ///< of a request that has its outcome
  std::uint64_t duplicate_answers = 0;  ///< of an attempt that has ended or never was
  std::uint64_t slots_released_by_bound = 0;
  std::uint64_t ejections = 0;
};

}  // namespace pistachio

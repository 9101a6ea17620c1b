#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Counts of submissions of which no task was known to have begun, as an earlier writer made
/// them.
struct EarlierCount {
  std::uint64_t revision = 0;  ///< store revision up to which submissions were considered
  std::map<QueueId, SubmissionCount> counts;  ///< by queue
};

/// \brief Counts a cell's submissions of which no task is known to have begun.
///
/// Progress records may be older than the start of a run, so after a change of owner a submission
/// that runs looks like one whose start has no answer. What has begun stays begun. An earlier count
/// therefore bounds how many of the submissions that it considered still wait.
class NotBegunCounter {
 public:
  /// \param earlier nothing if there is no earlier count
  explicit NotBegunCounter(std::optional<EarlierCount> earlier) : earlier(std::move(earlier)) {}

  /// \brief Adds a submission.
  /// \param revision store revision of its record in the cell's inbox
  /// \param unconfirmed a stored record names a run that may have begun
  void Add(const QueueId& queue, std::uint64_t revision, bool unconfirmed);

  /// \returns the counts by queue.
  std::map<QueueId, SubmissionCount> Counts() const;

 private:
  std::optional<EarlierCount> earlier;
  std::map<QueueId, SubmissionCount> considered_earlier;  ///< by the earlier count
  std::map<QueueId, SubmissionCount> others;
};

}  // namespace pistachio

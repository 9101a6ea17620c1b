#include "pistachio/process/scheduling/not_begun_count.h"

#include <algorithm>

namespace pistachio {

void NotBegunCounter::Add(const QueueId& queue, std::uint64_t revision, bool unconfirmed) {
  const bool known_earlier = this->earlier && revision <= this->earlier->revision;
  SubmissionCount& count = (known_earlier ? this->considered_earlier : this->others)[queue];
  (unconfirmed ? count.unconfirmed : count.waiting)++;
}

std::map<QueueId, SubmissionCount> NotBegunCounter::Counts() const {
  std::map<QueueId, SubmissionCount> counts = this->others;
  for (const auto& [queue, known] : this->considered_earlier) {
    const auto bound = this->earlier->counts.find(queue);
    const std::uint64_t most = bound == this->earlier->counts.end()
                                   ? 0
                                   : bound->second.waiting + bound->second.unconfirmed;
    counts[queue].waiting += known.waiting;
    counts[queue].unconfirmed += std::min(known.unconfirmed, most - std::min(most, known.waiting));
  }
  return counts;
}

}  // namespace pistachio

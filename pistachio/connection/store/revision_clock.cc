#include "pistachio/connection/store/revision_clock.h"

#include <algorithm>

namespace pistachio {

namespace internal {

/// Age from which on samples are dropped.
constexpr Duration kMaxSampleAge = std::chrono::seconds(20);
/// Shortest time between two samples, which bounds their number.
constexpr Duration kSampleStep = std::chrono::milliseconds(20);
/// The same for the times at which revisions were reached.
constexpr Duration kReachedStep = std::chrono::milliseconds(50);

}  // namespace internal

void RevisionClock::OnReply(const StoreCall& call, const StoreReply& reply, TimePoint sent_at,
                            TimePoint now) {
  this->newest_revision = std::max(this->newest_revision, reply.revision);
  if (reply.status != StoreStatus::kOk || reply.revision == 0) {
    return;
  }
  const auto* watch = std::get_if<WatchPrefix>(&call);
  if (watch == nullptr) {
    this->Add({sent_at, reply.revision});
  } else if (reply.items.empty() && reply.revision != watch->after_revision) {
    // The store has answered after the whole wait. A revision that is just repeated proves nothing
    // about the changes since.
    this->Add({std::min(now, sent_at + watch->wait), reply.revision});
  }
}

void RevisionClock::Add(const Sample& sample) {
  // Replies may arrive in another order than the calls were sent.
  const auto next = std::lower_bound(
      this->samples.begin(), this->samples.end(), sample.revision,
      [](const Sample& known, std::uint64_t revision) { return known.revision < revision; });
  if (next != this->samples.begin() &&
      std::prev(next)->time + internal::kSampleStep > sample.time) {
    return;
  }
  const auto later = std::find_if(next, this->samples.end(), [&sample](const Sample& known) {
    return known.time > sample.time;
  });
  if (next != this->samples.end() && next->revision == sample.revision && later == next) {
    return;
  }
  this->samples.insert(this->samples.erase(next, later), sample);
  while (this->samples.back().time - this->samples.front().time > internal::kMaxSampleAge) {
    this->samples.pop_front();
  }
}

void RevisionClock::OnTick(TimePoint now) {
  const bool known =
      !this->reached.empty() && (this->reached.back().revision >= this->newest_revision ||
                                 now - this->reached.back().time < internal::kReachedStep);
  if (known || this->newest_revision == 0) {
    return;
  }
  this->reached.push_back({now, this->newest_revision});
  while (now - this->reached.front().time > internal::kMaxSampleAge) {
    this->reached.pop_front();
  }
}

std::optional<TimePoint> RevisionClock::ReachedBy(std::uint64_t revision) const {
  const auto found = std::lower_bound(
      this->reached.begin(), this->reached.end(), revision,
      [](const Sample& known, std::uint64_t bound) { return known.revision < bound; });
  return found == this->reached.end() ? std::nullopt : std::optional<TimePoint>(found->time);
}

std::optional<TimePoint> RevisionClock::TimeOf(std::uint64_t revision) const {
  const auto after = std::upper_bound(
      this->samples.begin(), this->samples.end(), revision,
      [](std::uint64_t bound, const Sample& known) { return bound < known.revision; });
  return after == this->samples.begin() ? std::nullopt
                                        : std::optional<TimePoint>(std::prev(after)->time);
}

}  // namespace pistachio

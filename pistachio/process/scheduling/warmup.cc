#include "pistachio/process/scheduling/warmup.h"

#include <algorithm>

namespace pistachio {

void ColdTime::Update(Duration remaining, TimePoint read_at) {
  const TimePoint new_end = read_at + remaining;
  const bool was_cold = this->IsCold(read_at);
  // A registration is read some time after it was written, so its end varies. An end that lies
  // later by more than that begins a new cold time.
  constexpr Duration kMaxJitter = std::chrono::seconds(2);
  const bool restarted = new_end > this->ends_at + kMaxJitter;
  this->whole = was_cold && !restarted ? std::max(this->whole, remaining) : remaining;
  this->ends_at = new_end;
}

double ColdTime::Progress(TimePoint now) const {
  if (!this->IsCold(now)) {
    return 1.0;
  }
  const double left = std::chrono::duration<double>(this->ends_at - now).count();
  return 1.0 - std::min(1.0, left / std::chrono::duration<double>(this->whole).count());
}

std::uint32_t MaxRuns(const ColdTime& cold, double warm_runs, TimePoint now,
                      const WarmupSettings& settings) {
  if (!cold.IsCold(now)) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return static_cast<std::uint32_t>(
      std::max(settings.slack, settings.overage * warm_runs * cold.Progress(now)));
}

void ReturnLimit::OnReturned(const DataCentreId& data_centre) {
  this->returned_at[data_centre] = TimePoint::max();
}

void ReturnLimit::BeginRound(TimePoint now) {
  this->starts_left = this->settings.returning_starts_per_round;
  for (auto entry = this->returned_at.begin(); entry != this->returned_at.end();) {
    entry->second = std::min(entry->second, now);
    entry = now - entry->second >= this->settings.return_period ? this->returned_at.erase(entry)
                                                                : std::next(entry);
  }
}

bool ReturnLimit::MayStart(const DataCentreId& data_centre) const {
  return this->starts_left > 0 || this->returned_at.count(data_centre) == 0;
}

void ReturnLimit::OnStarted(const DataCentreId& data_centre) {
  const bool counts = this->starts_left > 0 && this->returned_at.count(data_centre) != 0;
  this->starts_left -= counts ? 1 : 0;
}

}  // namespace pistachio

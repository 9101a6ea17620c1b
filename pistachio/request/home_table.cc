#include "pistachio/request/home_table.h"

#include <algorithm>

namespace pistachio::internal {

HomeTable::HomeTable(const HomeMemory& memory, TimePoint start) : memory(memory), start(start) {}

std::uint64_t HomeTable::Issue(TimePoint now) {
  const auto age = static_cast<std::uint64_t>((now - this->start).count());
  this->last_issued = std::max(this->last_issued + 1, age);
  return this->last_issued;
}

IdState HomeTable::StateOf(std::uint64_t number, TimePoint now) const {
  if (number == 0 || number > this->last_issued) {
    return IdState::kNeverIssued;
  }
  if (this->IsForgotten(number, now)) {
    return IdState::kForgotten;
  }
  const auto found = this->sent.find(number);
  if (found == this->sent.end()) {
    return IdState::kUnused;
  }
  return found->second ? IdState::kAnswered : IdState::kRunning;
}

void HomeTable::LetThrough(std::uint64_t number, TimePoint now) {
  this->sent.emplace(number, false);
  this->Forget(now);
}

void HomeTable::Answered(std::uint64_t number) {
  const auto found = this->sent.find(number);
  if (found != this->sent.end()) {
    found->second = true;
  }
}

void HomeTable::ProvedNotRun(std::uint64_t number) { this->sent.erase(number); }

bool HomeTable::IsForgotten(std::uint64_t number, TimePoint now) const {
  const TimePoint issued = this->start + Duration(static_cast<Duration::rep>(number));
  return number < this->forgotten_below || now - issued >= this->memory.span;
}

void HomeTable::Forget(TimePoint now) {
  while (!this->sent.empty()) {
    const std::uint64_t oldest = this->sent.begin()->first;
    const bool too_many = this->sent.size() > this->memory.max_ids;
    if (!too_many && !this->IsForgotten(oldest, now)) {
      return;
    }
    // The bound moves before the record goes, so that the id can never look unused.
    this->forgotten_below = std::max(this->forgotten_below, oldest + 1);
    this->sent.erase(this->sent.begin());
  }
}

}  // namespace pistachio::internal

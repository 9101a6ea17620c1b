#include "pistachio/process/scheduling/lease_witnesses.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pistachio/process/runtime/random.h"

namespace pistachio {

std::uint64_t WitnessIdOf(const TargetId& target, std::uint64_t incarnation) {
  return StableHash(target.str(), incarnation);
}

bool LeaseWitnesses::HasMajority(const WitnessSet& witnesses, TimePoint since) const {
  const auto confirmed =
      std::count_if(witnesses.begin(), witnesses.end(), [&](std::uint64_t witness) {
        const auto found = this->confirmations.find(witness);
        return found != this->confirmations.end() && found->second >= since;
      });
  return 2 * static_cast<std::size_t>(confirmed) > witnesses.size();
}

bool LeaseWitnesses::Confirm(std::uint64_t witness, TimePoint sent_at, TimePoint now) {
  if (!this->Has(witness)) {
    return false;
  }
  TimePoint& confirmed_at = this->confirmations[witness];
  confirmed_at = std::max(confirmed_at, sent_at);
  const bool first_majority =
      !this->replaced && !this->majority_at && this->HasMajority(this->stored, TimePoint::min());
  if (first_majority) {
    this->majority_at = now;
  }
  return first_majority;
}

bool LeaseWitnesses::MayExtend(TimePoint now) const {
  const auto allows = [&](const WitnessSet& witnesses) {
    return witnesses.empty() || this->HasMajority(witnesses, now - this->settings.validity);
  };
  return allows(this->stored) && (!this->open || allows(*this->open));
}

WitnessSet LeaseWitnesses::Choose(const std::vector<Candidate>& candidates) const {
  WitnessSet chosen;
  std::map<DataCentreId, std::vector<std::uint64_t>> others;
  std::map<DataCentreId, std::size_t> chosen_in;
  for (const Candidate& candidate : candidates) {
    if (this->stored.count(candidate.id) != 0) {
      chosen.insert(candidate.id);
      chosen_in[candidate.data_centre]++;
    } else {
      others[candidate.data_centre].push_back(candidate.id);
    }
  }
  for (auto& [data_centre, ids] : others) {
    std::sort(ids.rbegin(), ids.rend());
  }
  while (chosen.size() < this->settings.count && !others.empty()) {
    const auto next = std::min_element(
        others.begin(), others.end(),
        [&](const auto& a, const auto& b) { return chosen_in[a.first] < chosen_in[b.first]; });
    chosen.insert(next->second.back());
    chosen_in[next->first]++;
    next->second.pop_back();
    if (next->second.empty()) {
      others.erase(next);
    }
  }
  return chosen;
}

bool LeaseWitnesses::MayChoose(bool former_owners_over, TimePoint now) const {
  return (former_owners_over || this->replaced || this->majority_at) &&
         now - this->chosen_at >= this->settings.choice_interval;
}

void LeaseWitnesses::BeginWrite(WitnessSet witnesses, TimePoint now) {
  if (witnesses != this->stored) {
    this->chosen_at = now;
  }
  this->open = std::move(witnesses);
}

void LeaseWitnesses::ConfirmWrite() {
  if (!this->open) {
    return;
  }
  WitnessSet written = std::move(*this->open);
  this->open.reset();
  if (written == this->stored) {
    return;
  }
  this->stored = std::move(written);
  this->replaced = true;
  for (auto entry = this->confirmations.begin(); entry != this->confirmations.end();) {
    entry =
        this->stored.count(entry->first) != 0 ? std::next(entry) : this->confirmations.erase(entry);
  }
}

}  // namespace pistachio

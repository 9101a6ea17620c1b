#include <algorithm>

#include "pistachio/process/node/node.h"

namespace pistachio {

void Node::OnEvacuation(const StoreItem& item) {
  const std::string name =
      item.key.substr(std::min(item.key.size(), this->documents.evacuation_prefix.size()));
  if (name.empty() || name.find('/') != std::string::npos) {
    this->events.push_back({EventCode::kEvacuationUnreadable, {{"key", item.key}}});
    return;
  }
  const DataCentreId data_centre(name);
  const bool changed = item.removed ? this->evacuated_data_centres.erase(data_centre) != 0
                                    : this->evacuated_data_centres.insert(data_centre).second;
  if (!changed) {
    return;
  }
  this->LogEvacuation(item, data_centre);
  for (auto& [id, ownership] : this->ownership_by_cell) {
    ownership.SetEvacuatedDataCentres(this->evacuated_data_centres);
  }
}

void Node::LogEvacuation(const StoreItem& item, const DataCentreId& data_centre) {
  std::set<DataCentreId> usable;
  for (const auto& [id, entry] : this->known_targets) {
    if (this->evacuated_data_centres.count(entry.data_centre) == 0) {
      usable.insert(entry.data_centre);
    }
  }
  EventRecord event{item.removed ? EventCode::kEvacuationEnded : EventCode::kEvacuationBegun,
                    {{"data-centre", data_centre.str()},
                     {"revision", std::to_string(item.revision)},
                     {"view-age-ms", MillisecondsText(this->EvacuationsAge())},
                     {"usable-data-centres", std::to_string(usable.size())}}};
  const CellOwnership* ownership = this->FindOwnership(data_centre);
  const Cell* cell = ownership == nullptr ? nullptr : ownership->cell();
  if (cell != nullptr) {
    const EvacuationProgress progress = cell->ProgressOf({data_centre});
    event.fields.emplace_back("cell", cell->id().str());
    event.fields.emplace_back("waiting-tasks", std::to_string(progress.waiting_tasks));
    event.fields.emplace_back("runs-left", std::to_string(progress.runs));
  }
  this->events.push_back(std::move(event));
}

Duration Node::MaxEvacuationsAge() const {
  const Duration bound = *this->settings.evacuation_apply;
  // With a bound of under 4 s, half of it is left for both, so that starts are possible at all.
  return std::max(bound - this->settings.start_transit_time - this->settings.max_silent_time,
                  bound / 2);
}

Duration Node::EvacuationsAge() const {
  return this->evacuations ? this->now - this->evacuations->valid_at() : Duration{0};
}

bool Node::EvacuationsCurrent(TimePoint taken_at) const {
  // An evacuation that the copy lacks was requested after the time at which the copy was valid.
  return !this->evacuations ||
         (this->evacuations->loaded() && this->evacuations->valid_at() > taken_at &&
          this->EvacuationsAge() < this->MaxEvacuationsAge());
}

void Node::LogEvacuationsAge() {
  // A new owner reads the copy anew, which takes one call.
  const auto lacks_copy = [this](const auto& row) {
    const auto taken_at = row.second.taken_at();
    return taken_at && this->now - std::max(*taken_at, this->evacuations->valid_at()) >=
                           this->MaxEvacuationsAge();
  };
  const bool outdated = this->evacuations && std::any_of(this->ownership_by_cell.begin(),
                                                         this->ownership_by_cell.end(), lacks_copy);
  if (outdated != this->evacuations_outdated) {
    this->evacuations_outdated = outdated;
    this->events.push_back(
        {outdated ? EventCode::kEvacuationsOutdated : EventCode::kEvacuationsCurrent,
         {{"view-age-ms", MillisecondsText(this->EvacuationsAge())}}});
  }
}

}  // namespace pistachio

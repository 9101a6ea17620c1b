#include "pistachio/process/ownership/cluster_view.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

namespace internal {

using Json = nlohmann::json;

/// Decodes a CBOR record.
/// \param read_fields copies the fields from the parsed JSON into the record
/// \returns nothing if the bytes are malformed, or a field is missing or has the wrong type.
template <class Record, class ReadFields>
std::optional<Record> DecodeWith(const std::string& bytes, ReadFields read_fields) {
  const auto json = ReadBoundedCbor<Json>(bytes);
  if (!json) {
    return std::nullopt;
  }
  try {
    Record record;
    read_fields(*json, &record);
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

/// \returns nothing if the field is malformed or a value is no amount; the rest of the record
/// holds.
std::optional<ForecastLoad> ReadForecast(const Json& json) try {
  ForecastLoad forecast;
  bool valid = true;
  const auto check = [&valid](double amount) {
    valid = valid && std::isfinite(amount) && amount >= 0.0;
  };
  for (const Json& row : json.at(0)) {
    const double work = row.at(1).get<double>();
    forecast.waiting[row.at(0).get<std::int32_t>()] = work;
    check(work);
  }
  forecast.end_rate = json.at(1).get<double>();
  forecast.cores_in_use = json.at(2).get<double>();
  forecast.free_cores = json.at(3).get<double>();
  forecast.factor = DurationFactor{json.at(4).get<double>(), json.at(5).get<double>()};
  check(forecast.end_rate);
  check(forecast.cores_in_use);
  check(forecast.free_cores);
  check(std::abs(forecast.factor.mean_log));
  check(forecast.factor.deviation_log);
  return valid ? std::optional<ForecastLoad>(forecast) : std::nullopt;
} catch (const Json::exception&) {
  return std::nullopt;
}

Json WriteLeaseBounds(const LeaseBounds& bounds) {
  Json rows = Json::array();
  for (const auto& [target, bound] : bounds) {
    rows.push_back(Json::array({target.str(), bound.count()}));
  }
  return rows;
}

LeaseBounds ReadLeaseBounds(const Json& rows) {
  LeaseBounds bounds;
  for (const Json& row : rows) {
    bounds[TargetId(row.at(0).get<std::string>())] = Duration(row.at(1).get<Duration::rep>());
  }
  return bounds;
}

/// \returns null if there is nothing to write.
Json WriteForecast(const std::optional<ForecastLoad>& forecast) {
  if (!forecast) {
    return nullptr;
  }
  Json waiting = Json::array();
  for (const auto& [priority, work] : forecast->waiting) {
    waiting.push_back(Json::array({priority, work}));
  }
  return Json::array({std::move(waiting), forecast->end_rate, forecast->cores_in_use,
                      forecast->free_cores, forecast->factor.mean_log,
                      forecast->factor.deviation_log});
}

}  // namespace internal

std::string EncodeRecord(const MemberRecord& record) {
  return ToCborBytes(
      internal::Json::array({record.host.str(), record.data_centre.str(), record.incarnation,
                             record.cpu_millis, record.follows_moves}));
}

std::string EncodeRecord(const AbsenceRecord& record) {
  return ToCborBytes(internal::Json::array({record.time.count(), record.revision}));
}

std::string EncodeRecord(const OwnerRecord& record) {
  internal::Json json =
      internal::Json::array({record.host.str(), record.incarnation, record.nonce});
  if (record.reads_progress) {
    json.push_back(true);
  }
  return ToCborBytes(json);
}

std::string EncodeRecord(const SequenceRecord& record) {
  return ToCborBytes(internal::Json::array(
      {record.writer.host.str(), record.writer.incarnation, record.writer.nonce,
       internal::WriteLeaseBounds(record.leases.bounds),
       internal::WriteLeaseBounds(record.leases.long_leases), record.leases.witnesses}));
}

std::string EncodeRecord(const LoadRecord& record) {
  internal::Json pending = internal::Json::object();
  internal::Json unconfirmed = internal::Json::object();
  for (const auto& [queue, count] : record.pending) {
    pending[queue.str()] = count.waiting;
    if (count.unconfirmed != 0) {
      unconfirmed[queue.str()] = count.unconfirmed;
    }
  }
  internal::Json json = internal::Json::array(
      {pending, record.backlog.count(), record.long_running_share, record.targets,
       record.capacity_cpu, record.batch_cpu, record.free_slots.counts()});
  if (record.forecast || record.counted_revision) {
    json.push_back(internal::WriteForecast(record.forecast));
  }
  if (record.counted_revision) {
    json.push_back(*record.counted_revision);
    json.push_back(std::move(unconfirmed));
    json.push_back(record.moves_known_since);
  }
  return ToCborBytes(json);
}

std::optional<MemberRecord> DecodeMember(const std::string& bytes) {
  return internal::DecodeWith<MemberRecord>(
      bytes, [](const internal::Json& json, MemberRecord* record) {
        record->host = HostId(json.at(0).get<std::string>());
        record->data_centre = DataCentreId(json.at(1).get<std::string>());
        record->incarnation = json.at(2).get<std::uint64_t>();
        record->cpu_millis = json.at(3).get<std::int64_t>();
        // Records of earlier versions end here.
        record->follows_moves = json.size() > 4 && json.at(4).get<bool>();
      });
}

std::optional<OwnerRecord> DecodeOwner(const std::string& bytes) {
  return internal::DecodeWith<OwnerRecord>(
      bytes, [](const internal::Json& json, OwnerRecord* record) {
        record->host = HostId(json.at(0).get<std::string>());
        record->incarnation = json.at(1).get<std::uint64_t>();
        record->nonce = json.at(2).get<std::uint64_t>();
        // Records of earlier versions end here.
        record->reads_progress = json.size() > 3 && json.at(3).get<bool>();
      });
}

std::optional<SequenceRecord> DecodeSequence(const std::string& bytes) {
  return internal::DecodeWith<SequenceRecord>(
      bytes, [](const internal::Json& json, SequenceRecord* record) {
        record->writer.host = HostId(json.at(0).get<std::string>());
        record->writer.incarnation = json.at(1).get<std::uint64_t>();
        record->writer.nonce = json.at(2).get<std::uint64_t>();
        // Records of earlier versions end here.
        if (json.size() > 3) {
          record->leases.bounds = internal::ReadLeaseBounds(json.at(3));
        }
        if (json.size() > 4) {
          record->leases.long_leases = internal::ReadLeaseBounds(json.at(4));
        }
        if (json.size() > 5) {
          record->leases.witnesses = json.at(5).get<WitnessSet>();
        }
      });
}

std::optional<LoadRecord> DecodeLoad(const std::string& bytes) {
  return internal::DecodeWith<LoadRecord>(
      bytes, [](const internal::Json& json, LoadRecord* record) {
        for (const auto& [queue, count] : json.at(0).items()) {
          record->pending[QueueId(queue)].waiting = count.get<std::uint64_t>();
        }
        record->backlog = Duration(json.at(1).get<Duration::rep>());
        record->long_running_share = json.at(2).get<double>();
        // Records of earlier versions end here.
        if (json.size() > 3) {
          record->targets = json.at(3).get<std::uint32_t>();
          record->capacity_cpu = json.at(4).get<std::int64_t>();
          record->batch_cpu = json.at(5).get<double>();
          record->free_slots = FreeSlots(json.at(6).get<FreeSlots::Counts>());
        }
        if (json.size() > 7) {
          record->forecast = internal::ReadForecast(json.at(7));
        }
        if (json.size() > 8) {
          record->counted_revision = json.at(8).get<std::uint64_t>();
          for (const auto& [queue, count] : json.at(9).items()) {
            record->pending[QueueId(queue)].unconfirmed = count.get<std::uint64_t>();
          }
          record->moves_known_since = json.at(10).get<std::uint64_t>();
        }
      });
}

std::optional<AbsenceRecord> DecodeAbsence(const std::string& bytes) {
  return internal::DecodeWith<AbsenceRecord>(
      bytes, [](const internal::Json& json, AbsenceRecord* record) {
        record->time = std::max(Duration(0), Duration(json.at(0).get<Duration::rep>()));
        record->revision = json.at(1).get<std::uint64_t>();
      });
}

std::optional<EarlierCount> LoadRecord::Count() const {
  return this->counted_revision
             ? std::optional<EarlierCount>({*this->counted_revision, this->pending})
             : std::nullopt;
}

CellRoom LoadRecord::Room() const {
  CellRoom room;
  room.targets = this->targets;
  room.capacity_cpu = this->capacity_cpu;
  room.backlog = this->backlog;
  room.batch_cpu = this->batch_cpu;
  room.long_running_share = this->long_running_share;
  room.free_slots = this->free_slots;
  room.forecast = this->forecast;
  return room;
}

std::vector<MoveDestination> ReadDestinations(const ClusterView& view,
                                              const std::vector<CellId>& cells) {
  std::vector<MoveDestination> destinations;
  for (const CellId& cell : cells) {
    const auto load = view.LoadOf(cell);
    if (load && view.OwnerOf(cell)) {
      destinations.push_back(MoveDestination{cell, load->Room()});
    }
  }
  return destinations;
}

ClusterView::ClusterView(const PrefixMirror& mirror) : mirror(mirror) {}

bool ClusterView::IsFresh(TimePoint now, Duration max_age) const {
  const PrefixMirror& prefix_mirror = this->mirror.get();
  return prefix_mirror.loaded() && now - prefix_mirror.confirmed_at() <= max_age;
}

std::optional<ClusterView::Owner> ClusterView::OwnerOf(const CellId& cell) const {
  const auto& items = this->mirror.get().items();
  const auto found = items.find(store_keys::Owner(cell));
  if (found == items.end()) {
    return std::nullopt;
  }
  // A cell with an unreadable owner record still has an owner.
  const auto record = DecodeOwner(found->second.value);
  return Owner{record ? *record : OwnerRecord{}, found->second.revision};
}

std::optional<LoadRecord> ClusterView::LoadOf(const CellId& cell) const {
  const auto& items = this->mirror.get().items();
  const auto found = items.find(store_keys::Load(cell));
  return found == items.end() ? std::nullopt : DecodeLoad(found->second.value);
}

std::optional<AbsenceRecord> ClusterView::AbsenceOf(const CellId& cell) const {
  const auto& items = this->mirror.get().items();
  const auto found = items.find(store_keys::Absence(cell));
  return found == items.end() ? std::nullopt : DecodeAbsence(found->second.value);
}

std::uint64_t ClusterView::LoadRevisionOf(const CellId& cell) const {
  const auto& items = this->mirror.get().items();
  const auto found = items.find(store_keys::Load(cell));
  return found == items.end() ? 0 : found->second.revision;
}

bool ClusterView::AllHostsFollowMoves() const {
  const auto& items = this->mirror.get().items();
  const std::string prefix = store_keys::kMembersPrefix;
  bool any = false;
  for (auto item = items.lower_bound(prefix);
       item != items.end() && store_keys::StripPrefix(prefix, item->first); ++item) {
    const auto record = DecodeMember(item->second.value);
    if (!record || !record->follows_moves) {
      return false;
    }
    any = true;
  }
  return any;
}

std::optional<CellLayout> ClusterView::Layout() const {
  const auto& items = this->mirror.get().items();
  const auto found = items.find(store_keys::Layout());
  return found == items.end() ? std::nullopt : DecodeLayout(found->second.value);
}

std::vector<MemberRecord> ClusterView::Members() const {
  std::vector<MemberRecord> members;
  const auto& items = this->mirror.get().items();
  const std::string prefix = store_keys::kMembersPrefix;
  for (auto item = items.lower_bound(prefix);
       item != items.end() && store_keys::StripPrefix(prefix, item->first); ++item) {
    if (const auto record = DecodeMember(item->second.value)) {
      members.push_back(*record);
    }
  }
  return members;
}

std::vector<MemberRecord> ClusterView::MembersOf(
    const std::vector<DataCentreId>& data_centres) const {
  std::vector<MemberRecord> members = this->Members();
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&data_centres](const MemberRecord& member) {
                                 return std::find(data_centres.begin(), data_centres.end(),
                                                  member.data_centre) == data_centres.end();
                               }),
                members.end());
  return members;
}

std::size_t ClusterView::OwnedCellCount(const HostId& host) const {
  std::size_t cells = 0;
  const auto& items = this->mirror.get().items();
  const std::string prefix = store_keys::kOwnersPrefix;
  for (auto item = items.lower_bound(prefix);
       item != items.end() && store_keys::StripPrefix(prefix, item->first); ++item) {
    const auto record = DecodeOwner(item->second.value);
    cells += record && record->host == host ? 1 : 0;
  }
  return cells;
}

}  // namespace pistachio

#include "pistachio/process/tasks/internal/record_codec.h"

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kMaxAmount = INT64_MAX / 4;  // sums of a few amounts stay in range
constexpr std::uint64_t kMaxPriority = 1000;

bool IsEmpty(const Json& field) {
  if (field.is_string()) {
    return field.get_ref<const std::string&>().empty();
  }
  return field.is_array() ? field.empty() : field == 0U;
}

std::int64_t Amount(RecordReader& reader) {
  return static_cast<std::int64_t>(reader.Number(kMaxAmount));
}

}  // namespace

RecordWriter::RecordWriter(int type) { this->fields.push_back(type); }

RecordWriter& RecordWriter::Add(std::uint64_t value) {
  this->fields.push_back(value);
  return *this;
}

RecordWriter& RecordWriter::Add(const std::string& value) {
  this->fields.push_back(value);
  return *this;
}

RecordWriter& RecordWriter::Add(Json value) {
  this->fields.push_back(std::move(value));
  return *this;
}

Json RecordWriter::Take() {
  while (this->fields.size() > 1 && IsEmpty(this->fields.back())) {
    this->fields.erase(this->fields.size() - 1);
  }
  return std::move(this->fields);
}

RecordReader::RecordReader(const Json& record) : record(record) {
  if (!record.is_array() || record.empty() || !record[0].is_number_unsigned()) {
    this->is_bad = true;
    return;
  }
  const auto type = record[0].get<std::uint64_t>();
  this->record_type = type < kMaxRecordFields ? static_cast<int>(type) : -1;
}

const Json* RecordReader::Next() {
  if (this->is_bad || this->next >= this->record.size()) {
    return nullptr;
  }
  return &this->record[this->next++];
}

std::uint64_t RecordReader::Number(std::uint64_t bound) {
  const Json* field = this->Next();
  if (field == nullptr) {
    return 0;
  }
  if (!field->is_number_unsigned() || field->get<std::uint64_t>() > bound) {
    this->is_bad = true;
    return 0;
  }
  return field->get<std::uint64_t>();
}

std::string RecordReader::Text() {
  const Json* field = this->Next();
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    this->is_bad = true;
    return {};
  }
  return field->get<std::string>();
}

Json RecordReader::Array() {
  const Json* field = this->Next();
  if (field == nullptr) {
    return Json::array();
  }
  if (!field->is_array()) {
    this->is_bad = true;
    return Json::array();
  }
  return *field;
}

std::string SealRecord(const Json& value) {
  std::string bytes(1, kRecordVersion);
  Json::to_cbor(value, bytes);
  return bytes;
}

std::optional<Json> OpenRecord(const std::string& bytes, std::string& reason) {
  if (bytes.empty() || bytes[0] != kRecordVersion) {
    reason = "unknown record version";
    return std::nullopt;
  }
  auto value = ReadBoundedCbor<Json>(bytes.substr(1));
  if (!value || !value->is_array() || value->empty()) {
    reason = "damaged record";
    return std::nullopt;
  }
  return value;
}

Json EncodeSpec(const JobSpec& spec) {
  Json racks = Json::array();
  for (const RackId& rack : spec.only_in_racks) {
    racks.push_back(rack.str());
  }
  RecordWriter writer(spec.kind == WorkKind::kService ? 1 : 0);
  writer.Add(spec.job.str()).Add(spec.team.str()).Add(spec.service.str());
  writer.Add(spec.work_class.str()).Add(static_cast<std::uint64_t>(spec.priority));
  writer.Add(std::uint64_t{spec.count});
  writer.Add(static_cast<std::uint64_t>(spec.declared.cpu_millis));
  writer.Add(static_cast<std::uint64_t>(spec.declared.memory_mib));
  writer.Add(static_cast<std::uint64_t>(spec.declared.accelerators));
  writer.Add(static_cast<std::uint64_t>(spec.expected_run.count()));
  writer.Add(std::uint64_t{spec.max_attempts}).Add(std::uint64_t{spec.max_per_rack});
  writer.Add(std::move(racks));
  return writer.Take();
}

std::optional<JobSpec> DecodeSpec(const Json& fields) {
  RecordReader reader(fields);
  JobSpec spec;
  spec.kind = reader.type() == 1 ? WorkKind::kService : WorkKind::kBatch;
  spec.job = JobId(reader.Text());
  spec.team = TeamId(reader.Text());
  spec.service = ServiceId(reader.Text());
  spec.work_class = WorkClass(reader.Text());
  spec.priority = static_cast<std::int32_t>(reader.Number(kMaxPriority));
  spec.count = static_cast<std::uint32_t>(reader.Number(kMaxTasksPerJob));
  spec.declared.cpu_millis = Amount(reader);
  spec.declared.memory_mib = Amount(reader);
  spec.declared.accelerators = Amount(reader);
  spec.expected_run = Duration(Amount(reader));
  spec.max_attempts = reader.Number32();
  spec.max_per_rack = reader.Number32();
  const Json racks = reader.Array();
  for (const Json& rack : racks) {
    if (!rack.is_string()) {
      return std::nullopt;
    }
    spec.only_in_racks.emplace_back(rack.get<std::string>());
  }
  if (reader.bad() || spec.job.empty()) {
    return std::nullopt;
  }
  return spec;
}

}  // namespace pistachio::internal

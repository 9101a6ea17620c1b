#include "pistachio/process/tasks/internal/rack_records.h"

#include "pistachio/process/tasks/internal/record_codec.h"

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

enum RackRecordType { kRackJob = 0, kRackIntent = 1, kRackEnd = 2, kRackFloor = 3 };

constexpr std::uint64_t kLastOutcome = static_cast<std::uint64_t>(AttemptOutcome::kCancelled);

Json Fields(const RackJobRecord& record) {
  return RecordWriter(kRackJob)
      .Add(std::uint64_t{record.number})
      .Add(EncodeSpec(record.spec))
      .Take();
}

Json Fields(const RackIntentRecord& record) {
  return RecordWriter(kRackIntent)
      .Add(std::uint64_t{record.job})
      .Add(std::uint64_t{record.index})
      .Add(std::uint64_t{record.attempt})
      .Add(record.serial)
      .Add(record.queue.str())
      .Add(record.target.str())
      .Add(record.checkpoint)
      .Take();
}

Json Fields(const RackEndRecord& record) {
  return RecordWriter(kRackEnd)
      .Add(std::uint64_t{record.job})
      .Add(std::uint64_t{record.task.index})
      .Add(std::uint64_t{record.attempt})
      .Add(static_cast<std::uint64_t>(record.outcome))
      .Add(record.checkpoint)
      .Add(record.reason)
      .Add(record.task.job.str())
      .Add(record.serial)
      .Add(record.queue.str())
      .Add(record.target.str())
      .Take();
}

Json Fields(const RackFloorRecord& record) {
  return RecordWriter(kRackFloor).Add(record.queue.str()).Add(record.settled_below).Take();
}

std::optional<RackRecord> ReadJob(RecordReader& reader) {
  RackJobRecord record;
  record.number = reader.Number32();
  const std::optional<JobSpec> spec = DecodeSpec(reader.Array());
  if (!spec) {
    return std::nullopt;
  }
  record.spec = *spec;
  return record;
}

RackIntentRecord ReadIntent(RecordReader& reader) {
  RackIntentRecord record;
  record.job = reader.Number32();
  record.index = reader.Number32();
  record.attempt = reader.Number32();
  record.serial = reader.Number();
  record.queue = UnitId(reader.Text());
  record.target = TargetId(reader.Text());
  record.checkpoint = reader.Text();
  return record;
}

RackEndRecord ReadEnd(RecordReader& reader) {
  RackEndRecord record;
  record.job = reader.Number32();
  record.task.index = reader.Number32();
  record.attempt = reader.Number32();
  record.outcome = static_cast<AttemptOutcome>(reader.Number(kLastOutcome));
  record.checkpoint = reader.Text();
  record.reason = reader.Text();
  record.task.job = JobId(reader.Text());
  record.serial = reader.Number();
  record.queue = UnitId(reader.Text());
  record.target = TargetId(reader.Text());
  return record;
}

RackFloorRecord ReadFloor(RecordReader& reader) {
  RackFloorRecord record;
  record.queue = UnitId(reader.Text());
  record.settled_below = reader.Number();
  return record;
}

std::optional<RackRecord> ReadByType(RecordReader& reader) {
  switch (reader.type()) {
    case kRackJob:
      return ReadJob(reader);
    case kRackIntent:
      return ReadIntent(reader);
    case kRackEnd:
      return ReadEnd(reader);
    case kRackFloor:
      return ReadFloor(reader);
    default:
      return std::nullopt;
  }
}

std::optional<RackRecord> Read(const Json& fields, std::string& reason) {
  RecordReader reader(fields);
  std::optional<RackRecord> record = ReadByType(reader);
  if (!record || reader.bad()) {
    reason = "damaged field in a rack's record";
    return std::nullopt;
  }
  return record;
}

Json FieldsOf(const RackRecord& record) {
  return std::visit([](const auto& typed) { return Fields(typed); }, record);
}

}  // namespace

std::string EncodeRackRecord(const RackRecord& record) { return SealRecord(FieldsOf(record)); }

std::optional<RackRecord> DecodeRackRecord(const std::string& bytes, std::string& reason) {
  const std::optional<Json> fields = OpenRecord(bytes, reason);
  return fields ? Read(*fields, reason) : std::nullopt;
}

std::string EncodeRackSnapshot(const std::vector<RackRecord>& records) {
  return SealRecords(records, FieldsOf);
}

std::optional<std::vector<RackRecord>> DecodeRackSnapshot(const std::string& bytes,
                                                          std::string& reason) {
  return OpenRecords<RackRecord>(bytes, reason, Read);
}

}  // namespace pistachio::internal

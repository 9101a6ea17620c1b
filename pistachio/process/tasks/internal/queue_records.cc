#include "pistachio/process/tasks/internal/queue_records.h"

#include "pistachio/process/tasks/internal/record_codec.h"

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

enum QueueRecordType {
  kQueueJob = 0,
  kQueueAssign = 1,
  kQueueEnd = 2,
  kQueueCancel = 3,
  kQueueTask = 4,
  kQueueDone = 5,
};

constexpr std::uint64_t kLastOutcome = static_cast<std::uint64_t>(AttemptOutcome::kCancelled);

Json Fields(const QueueJobRecord& record) {
  return RecordWriter(kQueueJob)
      .Add(std::uint64_t{record.number})
      .Add(EncodeSpec(record.spec))
      .Add(record.evictions)
      .Take();
}

Json Fields(const QueueAssignRecord& record) {
  return RecordWriter(kQueueAssign)
      .Add(std::uint64_t{record.job})
      .Add(std::uint64_t{record.index})
      .Add(record.rack.str())
      .Add(record.serial)
      .Take();
}

Json Fields(const QueueEndRecord& record) {
  return RecordWriter(kQueueEnd)
      .Add(std::uint64_t{record.job})
      .Add(std::uint64_t{record.index})
      .Add(static_cast<std::uint64_t>(record.outcome))
      .Add(record.target.str())
      .Add(record.checkpoint)
      .Take();
}

Json Fields(const QueueCancelRecord& record) {
  return RecordWriter(kQueueCancel).Add(std::uint64_t{record.job}).Take();
}

Json Fields(const QueueTaskRecord& record) {
  Json avoided = Json::array();
  for (const TargetId& target : record.avoid_targets) {
    avoided.push_back(target.str());
  }
  return RecordWriter(kQueueTask)
      .Add(std::uint64_t{record.job})
      .Add(std::uint64_t{record.index})
      .Add(std::uint64_t{record.stage})
      .Add(std::uint64_t{record.attempt})
      .Add(record.rack.str())
      .Add(record.serial)
      .Add(record.checkpoint)
      .Add(std::uint64_t{record.failures})
      .Add(std::uint64_t{record.losses})
      .Add(std::move(avoided))
      .Take();
}

Json Fields(const QueueDoneRecord& record) {
  return RecordWriter(kQueueDone)
      .Add(EncodeSpec(record.spec))
      .Add(std::uint64_t{record.finished})
      .Add(std::uint64_t{record.failed})
      .Add(std::uint64_t{record.cancelled})
      .Add(record.evictions)
      .Take();
}

std::optional<QueueRecord> ReadJob(RecordReader& reader) {
  const std::uint32_t number = reader.Number32();
  const std::optional<JobSpec> spec = DecodeSpec(reader.Array());
  if (!spec) {
    return std::nullopt;
  }
  return QueueJobRecord{number, *spec, reader.Number()};
}

QueueAssignRecord ReadAssign(RecordReader& reader) {
  QueueAssignRecord record;
  record.job = reader.Number32();
  record.index = reader.Number32();
  record.rack = RackId(reader.Text());
  record.serial = reader.Number();
  return record;
}

QueueEndRecord ReadEnd(RecordReader& reader) {
  QueueEndRecord record;
  record.job = reader.Number32();
  record.index = reader.Number32();
  record.outcome = static_cast<AttemptOutcome>(reader.Number(kLastOutcome));
  record.target = TargetId(reader.Text());
  record.checkpoint = reader.Text();
  return record;
}

std::optional<QueueRecord> ReadTask(RecordReader& reader) {
  QueueTaskRecord record;
  record.job = reader.Number32();
  record.index = reader.Number32();
  record.stage = reader.Number32();
  record.attempt = reader.Number32();
  record.rack = RackId(reader.Text());
  record.serial = reader.Number();
  record.checkpoint = reader.Text();
  record.failures = reader.Number32();
  record.losses = reader.Number32();
  const Json avoided = reader.Array();
  for (const Json& target : avoided) {
    if (!target.is_string()) {
      return std::nullopt;
    }
    record.avoid_targets.emplace_back(target.get<std::string>());
  }
  return record;
}

std::optional<QueueRecord> ReadDone(RecordReader& reader) {
  const std::optional<JobSpec> spec = DecodeSpec(reader.Array());
  if (!spec) {
    return std::nullopt;
  }
  QueueDoneRecord record;
  record.spec = *spec;
  record.finished = reader.Number32();
  record.failed = reader.Number32();
  record.cancelled = reader.Number32();
  record.evictions = reader.Number();
  return record;
}

std::optional<QueueRecord> ReadByType(RecordReader& reader) {
  switch (reader.type()) {
    case kQueueJob:
      return ReadJob(reader);
    case kQueueAssign:
      return ReadAssign(reader);
    case kQueueEnd:
      return ReadEnd(reader);
    case kQueueCancel:
      return QueueCancelRecord{reader.Number32()};
    case kQueueTask:
      return ReadTask(reader);
    case kQueueDone:
      return ReadDone(reader);
    default:
      return std::nullopt;
  }
}

std::optional<QueueRecord> Read(const Json& fields, std::string& reason) {
  RecordReader reader(fields);
  std::optional<QueueRecord> record = ReadByType(reader);
  if (!record || reader.bad()) {
    reason = "damaged field in a job queue's record";
    return std::nullopt;
  }
  return record;
}

Json FieldsOf(const QueueRecord& record) {
  return std::visit([](const auto& typed) { return Fields(typed); }, record);
}

}  // namespace

std::string EncodeQueueRecord(const QueueRecord& record) { return SealRecord(FieldsOf(record)); }

std::optional<QueueRecord> DecodeQueueRecord(const std::string& bytes, std::string& reason) {
  const std::optional<Json> fields = OpenRecord(bytes, reason);
  return fields ? Read(*fields, reason) : std::nullopt;
}

std::string EncodeQueueSnapshot(const std::vector<QueueRecord>& records) {
  return SealRecords(records, FieldsOf);
}

std::optional<std::vector<QueueRecord>> DecodeQueueSnapshot(const std::string& bytes,
                                                            std::string& reason) {
  return OpenRecords<QueueRecord>(bytes, reason, Read);
}

}  // namespace pistachio::internal

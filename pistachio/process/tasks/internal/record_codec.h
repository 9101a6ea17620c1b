#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/process/tasks/types.h"

namespace pistachio::internal {

/// \brief First byte of every record and snapshot.
constexpr char kRecordVersion = 1;
/// \brief Bound on the fields of one record, against damaged bytes.
constexpr std::size_t kMaxRecordFields = 64;

/// \brief Writes a record's fields in order; empty ones at the end take no bytes.
class RecordWriter {
 public:
  explicit RecordWriter(int type);

  RecordWriter& Add(std::uint64_t value);
  RecordWriter& Add(const std::string& value);
  RecordWriter& Add(nlohmann::json value);

  /// \returns the fields with empty ones at the end left out.
  nlohmann::json Take();

 private:
  nlohmann::json fields = nlohmann::json::array();
};

/// \brief Reads a record's fields in order; fields that are not there read as empty, and fields
/// after the known ones are ignored. A field of the wrong kind makes the record bad.
class RecordReader {
 public:
  explicit RecordReader(const nlohmann::json& record);

  int type() const { return this->record_type; }
  std::uint64_t Number(std::uint64_t bound = UINT64_MAX);
  std::uint32_t Number32() { return static_cast<std::uint32_t>(this->Number(UINT32_MAX)); }
  std::string Text();
  nlohmann::json Array();
  bool bad() const { return this->is_bad; }

 private:
  const nlohmann::json* Next();

  const nlohmann::json& record;
  std::size_t next = 1;
  int record_type = -1;
  bool is_bad = false;
};

/// \returns the version byte and \a value in CBOR.
std::string SealRecord(const nlohmann::json& value);

/// \returns the array behind the version byte, or nothing; then \a reason tells why.
std::optional<nlohmann::json> OpenRecord(const std::string& bytes, std::string& reason);

/// \returns a snapshot: every record's fields, as \a fields_of gives them. None take no bytes.
template <class Record, class FieldsOf>
std::string SealRecords(const std::vector<Record>& records, FieldsOf fields_of) {
  if (records.empty()) {
    return {};
  }
  nlohmann::json all = nlohmann::json::array();
  for (const Record& record : records) {
    all.push_back(fields_of(record));
  }
  return SealRecord(all);
}

/// \returns the records of a snapshot as \a read takes them, or nothing; then \a reason tells why.
template <class Record, class Read>
std::optional<std::vector<Record>> OpenRecords(const std::string& bytes, std::string& reason,
                                               Read read) {
  std::vector<Record> records;
  if (bytes.empty()) {
    return records;
  }
  const std::optional<nlohmann::json> all = OpenRecord(bytes, reason);
  if (!all) {
    return std::nullopt;
  }
  for (const nlohmann::json& fields : *all) {
    const std::optional<Record> record = read(fields, reason);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(*record);
  }
  return records;
}

/// \returns a job's specification as an array.
nlohmann::json EncodeSpec(const JobSpec& spec);

/// \returns the specification in \a fields, or nothing if it is damaged or out of bounds.
std::optional<JobSpec> DecodeSpec(const nlohmann::json& fields);

}  // namespace pistachio::internal

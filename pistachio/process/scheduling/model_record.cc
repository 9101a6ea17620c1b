#include "pistachio/process/scheduling/model_record.h"

#include <nlohmann/json.hpp>

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

namespace internal {

constexpr const char* kDurationsField = "durations";

}  // namespace internal

std::string EncodeModelRecord(const ModelRecord& models) {
  nlohmann::json record = nlohmann::json::from_cbor(models.interference);
  record.push_back({{internal::kDurationsField, nlohmann::json::from_cbor(models.durations)}});
  return ToCborBytes(record);
}

std::optional<ModelRecord> DecodeModelRecord(const std::string& bytes) {
  auto record = ReadBoundedCbor<nlohmann::json>(bytes);
  if (!record || !record->is_array()) {
    return std::nullopt;
  }
  ModelRecord models;
  if (!record->empty() && record->back().is_object()) {
    const auto durations = record->back().find(internal::kDurationsField);
    if (durations != record->back().end()) {
      models.durations = ToCborBytes(*durations);
    }
    record->erase(record->size() - 1);
  }
  models.interference = ToCborBytes(*record);
  return models;
}

}  // namespace pistachio

#pragma once

#include <optional>
#include <string>

namespace pistachio {

/// \brief Encoded models of a cell, as its model record in the store holds them.
///
/// The record is the array of the interference model, with an object appended that holds the other
/// models. Earlier versions wrote the array alone and ignore what follows its first elements.
struct ModelRecord {
  std::string interference;  ///< see InterferenceModel::Encode()
  std::string durations;     ///< see DurationModel::Encode(); empty if the record has none
};

/// \returns the record with both models.
std::string EncodeModelRecord(const ModelRecord& models);

/// \returns the models in a record of this or an earlier version, or nothing if \a bytes are no
///   such record. The models themselves are not checked.
std::optional<ModelRecord> DecodeModelRecord(const std::string& bytes);

}  // namespace pistachio

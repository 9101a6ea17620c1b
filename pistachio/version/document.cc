#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

/// \returns the value at \a path if it is of type T, otherwise \a fallback.
template <class T>
T ValueOr(const CheckedDocument& document, const std::string& path, T fallback) {
  const LocatedValue* found = document.Find(path);
  if (found == nullptr) {
    return fallback;
  }
  const T* value = std::get_if<T>(&found->value);
  return value == nullptr ? fallback : *value;
}

}  // namespace internal

const LocatedValue* CheckedDocument::Find(const std::string& path) const {
  const auto found = this->values.find(path);
  return found == this->values.end() ? nullptr : &found->second;
}

std::string CheckedDocument::GetText(const std::string& path) const {
  return internal::ValueOr<std::string>(*this, path, "");
}

std::int64_t CheckedDocument::GetInteger(const std::string& path) const {
  return internal::ValueOr<std::int64_t>(*this, path, 0);
}

double CheckedDocument::GetNumber(const std::string& path) const {
  return internal::ValueOr<double>(*this, path, 0.0);
}

Duration CheckedDocument::GetDuration(const std::string& path) const {
  return internal::ValueOr<Duration>(*this, path, Duration(0));
}

std::vector<std::string> CheckedDocument::GetNames(const std::string& path) const {
  return internal::ValueOr<std::vector<std::string>>(*this, path, {});
}

std::vector<std::string> CheckedDocument::TableNames(const std::string& path) const {
  const auto found = this->table_names.find(path);
  return found == this->table_names.end() ? std::vector<std::string>() : found->second;
}

std::size_t CheckedDocument::ListSize(const std::string& path) const {
  const auto found = this->list_sizes.find(path);
  return found == this->list_sizes.end() ? 0 : found->second;
}

std::uint32_t CheckedDocument::LineOf(const std::string& path) const {
  const LocatedValue* value = this->Find(path);
  if (value != nullptr) {
    return value->line;
  }
  const auto found = this->table_lines.find(path);
  return found == this->table_lines.end() ? 0 : found->second;
}

}  // namespace pistachio

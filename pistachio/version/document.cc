#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

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

std::string CheckedDocument::Text(const std::string& path) const {
  return internal::ValueOr<std::string>(*this, path, "");
}

std::int64_t CheckedDocument::Integer(const std::string& path) const {
  return internal::ValueOr<std::int64_t>(*this, path, 0);
}

double CheckedDocument::Number(const std::string& path) const {
  return internal::ValueOr<double>(*this, path, 0.0);
}

Duration CheckedDocument::Time(const std::string& path) const {
  return internal::ValueOr<Duration>(*this, path, Duration(0));
}

std::vector<std::string> CheckedDocument::Names(const std::string& path) const {
  return internal::ValueOr<std::vector<std::string>>(*this, path, {});
}

std::vector<std::string> CheckedDocument::TablesIn(const std::string& path) const {
  const auto found = this->tables.find(path);
  return found == this->tables.end() ? std::vector<std::string>() : found->second;
}

std::size_t CheckedDocument::ItemsIn(const std::string& path) const {
  const auto found = this->items.find(path);
  return found == this->items.end() ? 0 : found->second;
}

std::uint32_t CheckedDocument::LineOf(const std::string& path) const {
  const LocatedValue* value = this->Find(path);
  if (value != nullptr) {
    return value->line;
  }
  const auto found = this->lines.find(path);
  return found == this->lines.end() ? 0 : found->second;
}

}  // namespace pistachio

#include "pistachio/connection/http/http_types.h"

namespace pistachio {

namespace internal {

/// \returns the value of \a name, or an empty string if \a map has none.
std::string ValueOrEmpty(const std::map<std::string, std::string>& map, const std::string& name) {
  const auto found = map.find(name);
  return found == map.end() ? std::string() : found->second;
}

}  // namespace internal

std::string ServedRequest::Header(const std::string& name) const {
  return internal::ValueOrEmpty(this->headers, name);
}

std::string ServedRequest::Query(const std::string& name) const {
  return internal::ValueOrEmpty(this->query, name);
}

}  // namespace pistachio

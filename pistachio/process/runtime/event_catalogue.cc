#include "pistachio/process/runtime/event_catalogue.h"

#include <fmt/format.h>

#include <algorithm>

namespace pistachio {

namespace internal {

std::string QuoteValue(const std::string& value) {
  const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (plain) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      quoted += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  quoted += '"';
  return quoted;
}

std::vector<EventDescription> JoinAreas() {
  std::vector<EventDescription> all;
  for (const auto* area : {&ProcessEvents(), &MembershipEvents(), &TaskEvents(), &RequestEvents(),
                           &SettingsEvents(), &PolicyEvents()}) {
    all.insert(all.end(), area->begin(), area->end());
  }
  return all;
}

}  // namespace internal

const std::vector<EventDescription>& EventCatalogue() {
  static const std::vector<EventDescription> kCatalogue = internal::JoinAreas();
  return kCatalogue;
}

std::optional<EventDescription> FindEvent(EventCode code) {
  const auto& catalogue = EventCatalogue();
  const auto row = std::find_if(catalogue.begin(), catalogue.end(),
                                [code](const EventDescription& d) { return d.code == code; });
  if (row == catalogue.end()) {
    return std::nullopt;
  }
  return *row;
}

std::string EventRecord::str() const {
  const auto description = FindEvent(this->code);
  std::string line = fmt::format("E{} {}", static_cast<int>(this->code),
                                 description ? description->name : "uncatalogued");
  for (const auto& [name, value] : this->fields) {
    line += fmt::format(" {}={}", name, internal::QuoteValue(value));
  }
  return line;
}

}  // namespace pistachio

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

const char* NameOf(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "unknown";
}

std::vector<EventDescription> JoinAreas() {
  std::vector<EventDescription> all;
  for (const auto* area : {&ProcessEvents(), &OwnershipEvents(), &TaskEvents(), &RequestEvents(),
                           &ConfigurationEvents()}) {
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

std::string RenderEventsPage() {
  std::string page =
      "# Events\n\n"
      "Made by `pistachiod --print_events`; change the catalogue, not this page. Each log line "
      "starts with\nthe time, the level, the host, the number and the name; fields follow as "
      "`name=value`.\n\n"
      "| Number | Name | Level | Meaning |\n|---|---|---|---|\n";
  for (const EventDescription& row : EventCatalogue()) {
    page += fmt::format("| {} | `{}` | {} | {} |\n", static_cast<int>(row.code), row.name,
                        internal::NameOf(row.severity), row.meaning);
  }
  return page;
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

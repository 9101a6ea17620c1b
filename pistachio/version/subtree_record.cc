#include "pistachio/version/subtree_record.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace pistachio {

namespace internal {

// The document follows its header as it is, so that it needs no escapes.
constexpr char kHeaderEnd = '\n';
constexpr std::size_t kMaxHeaderBytes = 1024;

std::optional<SubtreeVersion> ReadHeader(const std::string& header) {
  const auto json = nlohmann::json::parse(header, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    SubtreeVersion version;
    version.subtree = json.at("subtree").get<std::string>();
    version.version = json.at("version").get<std::uint64_t>();
    version.change_id = json.at("change_id").get<std::string>();
    return version;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace internal

std::string CurrentKeyOf(const std::string& subtree) { return kCurrentSettingsPrefix + subtree; }

std::string HistoryPrefixOf(const std::string& subtree) {
  return "settings/history/" + subtree + "/";
}

std::string HistoryKeyOf(const std::string& subtree, std::uint64_t version) {
  return HistoryPrefixOf(subtree) + fmt::format("{:020}", version);
}

std::string EncodeSubtreeRecord(const SubtreeVersion& version) {
  const nlohmann::json header = {
      {"subtree", version.subtree}, {"version", version.version}, {"change_id", version.change_id}};
  return header.dump() + internal::kHeaderEnd + version.document;
}

std::optional<SubtreeVersion> DecodeSubtreeRecord(const std::string& value) {
  const std::size_t end = value.find(internal::kHeaderEnd);
  if (end == std::string::npos || end > internal::kMaxHeaderBytes) {
    return std::nullopt;
  }
  auto version = internal::ReadHeader(value.substr(0, end));
  if (!version || version->version == 0 || version->subtree.empty()) {
    return std::nullopt;
  }
  version->document = value.substr(end + 1);
  return version;
}

HistoryList ListHistory(const std::string& subtree, const StoreEntry* current,
                        const std::vector<StoreEntry>& earlier) {
  HistoryList list{subtree, {}};
  const auto add = [&list](const StoreEntry& entry) {
    const auto version = DecodeSubtreeRecord(entry.value);
    const bool repeated =
        version && !list.versions.empty() && list.versions.back().version <= version->version;
    if (version && !repeated) {
      list.versions.push_back(
          HistoryRow{version->version, version->change_id, version->document.size()});
    }
  };
  if (current != nullptr) {
    add(*current);
  }
  for (auto entry = earlier.rbegin(); entry != earlier.rend(); ++entry) {
    add(*entry);
  }
  return list;
}

}  // namespace pistachio

#pragma once

#include <optional>
#include <string>

#include "pistachio/connection/store/calls.h"
#include "pistachio/version/operator_api.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \brief Prefix of the keys that hold the newest accepted version of each subtree.
constexpr const char* kCurrentSettingsPrefix = "settings/current/";

/// \brief Versions of a subtree that stay readable behind the newest one.
constexpr std::uint64_t kKeptVersions = 20;

/// \returns the key of a subtree's newest version.
std::string CurrentKeyOf(const std::string& subtree);

/// \returns the prefix of the keys of a subtree's earlier versions.
std::string HistoryPrefixOf(const std::string& subtree);

/// \returns the key of one earlier version; keys sort by version.
std::string HistoryKeyOf(const std::string& subtree, std::uint64_t version);

/// \returns the value that the key-value service holds for a version.
std::string EncodeSubtreeRecord(const SubtreeVersion& version);

/// \returns the version that a value holds, or nothing if it is malformed.
std::optional<SubtreeVersion> DecodeSubtreeRecord(const std::string& value);

/// \brief Lists a subtree's history from its records in the key-value service.
/// \param current entry at CurrentKeyOf, or null if there is none
/// \param earlier entries below HistoryPrefixOf
HistoryList ListHistory(const std::string& subtree, const StoreEntry* current,
                        const std::vector<StoreEntry>& earlier);

}  // namespace pistachio

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \brief Times and bounds of the spread, equal on every entry host.
struct SpreadTiming {
  Duration digest_every = std::chrono::seconds(1);
  Duration watch_wait = std::chrono::seconds(3);        ///< how long one watch may wait
  Duration watch_margin = std::chrono::seconds(1);      ///< then it counts as lost
  Duration watch_gap = std::chrono::milliseconds(100);  ///< least time between two watches
  Duration retry_min = std::chrono::milliseconds(250);
  Duration retry_max = std::chrono::seconds(2);
  Duration failing_after = std::chrono::seconds(3);  ///< a watcher that fails so long is replaced
  Duration request_timeout = std::chrono::seconds(1);
  std::size_t update_bytes = 1U << 16U;  ///< documents in one message, unless one alone is larger
};

// ---- Messages between entry hosts.

/// \brief What a host has, in short. Two hosts with equal hashes have the same versions.
struct SettingsDigest {
  DataCentreId data_centre;       ///< the sender's
  std::uint64_t subtrees = 0;     ///< how many it has
  std::uint64_t version_sum = 0;  ///< the sum of their versions; grows with each change
  std::uint64_t hash = 0;         ///< over subtrees and versions
  bool store_failing = false;     ///< its own calls on the key-value service fail
};

/// \brief One subtree and the version that a host has of it.
struct SubtreeVersionNumber {
  std::string subtree;
  std::uint64_t version = 0;
};

/// \brief Asks for everything newer than what the sender has.
struct SettingsRequest {
  std::vector<SubtreeVersionNumber> have;
};

/// \brief Carries accepted versions.
struct SettingsUpdate {
  std::vector<SubtreeVersion> subtrees;
  bool more = false;  ///< the answer to a request is cut off; ask again
};

using SettingsMessage = std::variant<SettingsDigest, SettingsRequest, SettingsUpdate>;

/// \returns the bytes of names and documents that a message carries, for the metrics.
std::size_t BytesOf(const SettingsMessage& message);

// ---- Events.

struct SpreadTick {};
/// \brief Who may be reached now, as far as is known.
struct SpreadMembersChanged {
  std::vector<HostId> own;                             ///< live in the own data centre, self too
  std::map<DataCentreId, std::vector<HostId>> remote;  ///< of each other data centre
};
struct SpreadStoreAnswered {
  std::uint64_t call_id = 0;
  StoreReply reply;
};
struct SpreadMessageReceived {
  HostId from;
  SettingsMessage message;
};
using SpreadEvent =
    std::variant<SpreadTick, SpreadMembersChanged, SpreadStoreAnswered, SpreadMessageReceived>;

// ---- Actions.

struct SpreadCallStore {
  std::uint64_t call_id = 0;
  StoreRole role = StoreRole::kSettings;
  StoreCall call;
};
struct SendSettingsMessage {
  HostId to;
  SettingsMessage message;
};
/// \brief A newer version of a subtree is in force from now on.
struct SettingsInForce {
  SubtreeVersion version;
};
struct SpreadReport {
  EventRecord event;
};
using SpreadAction =
    std::variant<SpreadCallStore, SendSettingsMessage, SettingsInForce, SpreadReport>;

}  // namespace pistachio

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/version/operator_api.h"
#include "pistachio/version/spread_types.h"
#include "pistachio/version/version_set.h"

namespace pistachio {

/// \brief Brings accepted settings into force on one entry host and helps its peers to them.
///
/// Two hosts of a data centre, chosen by rendezvous hashing over its live members, watch the
/// key-value service, whatever the number of hosts. The first sends what it learns to the others.
/// Every host tells its peers a digest of its versions once in an interval, and the watchers tell
/// one host of each other data centre, so that a missed change is asked for. A version is taken
/// from any side if it is higher and never otherwise. Pure: events in, actions out.
class SettingsSpread {
 public:
  /// \param self this host
  SettingsSpread(HostId self, DataCentreId data_centre, const SpreadTiming& timing, TimePoint now);

  std::vector<SpreadAction> Handle(const SpreadEvent& event, TimePoint now);

  /// \returns the versions in force here.
  const VersionSet& versions() const { return this->known; }

  /// \returns true if this host watches the key-value service for its data centre.
  bool watching() const { return this->is_watcher; }

  /// \returns true if the host that watches, this one or a peer, reaches the key-value service.
  bool StoreReachable() const;

  /// \returns what is known of the versions in force on every host, for `settings status`.
  SettingsStatus Status(TimePoint now) const;

 private:
  struct Peer {
    SettingsDigest digest;
    TimePoint heard_at;
  };

  void HandleEvent(const SpreadTick& event);
  void HandleEvent(const SpreadMembersChanged& event);
  void HandleEvent(const SpreadStoreAnswered& event);
  void HandleEvent(const SpreadMessageReceived& event);
  void HandleMessage(const HostId& from, const SettingsDigest& digest);
  void HandleMessage(const HostId& from, const SettingsRequest& request);
  void HandleMessage(const HostId& from, const SettingsUpdate& update);

  std::vector<HostId> ElectWatchers() const;
  void UpdateRole();
  void Watch();
  void NoteStoreSuccess(std::uint64_t store_revision);
  void TakeEntries(const std::vector<StoreEntry>& entries);
  void NoteStoreFailure();
  bool StoreFailing() const;
  std::vector<SubtreeVersion> TakeAll(const std::vector<SubtreeVersion>& offered,
                                      const std::string& source);
  void Relay(const std::vector<SubtreeVersion>& taken, const HostId& except);
  void SendDigests();
  SettingsDigest OwnDigest() const;
  void AskForNewer(const HostId& peer);
  bool IsOwn(const HostId& host) const;
  void Send(const HostId& to, SettingsMessage message);
  void Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields);

  HostId self;
  DataCentreId data_centre;
  SpreadTiming timing;
  TimePoint now;
  VersionSet known;
  std::vector<HostId> own_members;
  std::map<DataCentreId, std::vector<HostId>> remote_members;
  std::map<HostId, Peer> peers;

  bool is_watcher = false;
  bool is_first_watcher = false;  ///< the one that relays what it learns from the service
  std::uint64_t last_call = 0;
  std::optional<TimePoint> watch_sent;  ///< a watch is under way
  TimePoint watch_at;                   ///< earliest time of the next watch
  std::uint64_t revision = 0;           ///< changes after it are not known here
  Duration retry;
  std::optional<TimePoint> failing_since;
  bool failure_reported = false;

  TimePoint digest_at;
  std::uint64_t digest_rounds = 0;
  std::optional<TimePoint> request_sent;
  std::vector<SpreadAction> actions;
};

}  // namespace pistachio

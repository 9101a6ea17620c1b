#include "pistachio/version/daemon_settings.h"

#include <set>

#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

/// \brief Checks that no single key can: how values stand to each other.
class DaemonRules {
 public:
  DaemonRules(const CheckedDocument& document, std::vector<SettingsError>* errors)
      : document(document), errors(errors) {}

  void CheckTimes() {
    const Duration term = this->document.Time("lease.term");
    this->RequireBelow("lease.renew_every", term / 2, "less than half of lease.term");
    this->RequireBelow("lease.heartbeat_every", term / 2, "less than half of lease.term");
    this->RequireBelow("lease.drift_margin", term / 4, "less than a quarter of lease.term");
    this->RequireBelow("lease.store_timeout", term, "less than lease.term");
    if (this->document.Time("lease.gone_roster_bound") <= term) {
      this->Refuse("lease.gone_roster_bound", "is too short", "more than lease.term");
    }
  }

  void CheckAddresses() {
    std::set<std::string> listening;
    for (const char* key : {"listen.callers", "listen.peers", "listen.operators"}) {
      if (!listening.insert(this->document.Text(key)).second) {
        this->Refuse(key, "another role listens at this address", "one address for each role");
      }
    }
    std::set<std::string> hosts;
    for (std::size_t i = 0; i < this->document.ItemsIn("peers"); i++) {
      const std::string key = "peers[" + std::to_string(i) + "].host";
      if (!hosts.insert(this->document.Text(key)).second) {
        this->Refuse(key, "the host is listed twice", "one entry for each host");
      }
    }
  }

 private:
  void RequireBelow(const std::string& key, Duration bound, const std::string& allowed) {
    if (this->document.Time(key) >= bound) {
      this->Refuse(key, "is too long beside lease.term", allowed);
    }
  }

  void Refuse(const std::string& key, const std::string& problem, const std::string& allowed) {
    this->errors->push_back(
        SettingsError{this->document.file, this->document.LineOf(key), key, problem, allowed});
  }

  const CheckedDocument& document;
  std::vector<SettingsError>* errors;
};

void FillPeers(const CheckedDocument& document, DaemonSettings* settings) {
  for (std::size_t i = 0; i < document.ItemsIn("peers"); i++) {
    const std::string path = "peers[" + std::to_string(i) + "]";
    PeerAddress peer;
    peer.host = HostId(document.Text(path + ".host"));
    peer.data_centre = DataCentreId(document.Text(path + ".data_centre"));
    peer.address = document.Text(path + ".address");
    if (peer.data_centre.empty()) {
      peer.data_centre = settings->data_centre;
    }
    if (peer.host == settings->host) {
      continue;
    }
    const bool own = peer.data_centre == settings->data_centre;
    (own ? settings->peers : settings->remote_peers).push_back(peer);
  }
}

LeaseTiming ReadLeaseTiming(const CheckedDocument& document) {
  LeaseTiming timing;
  timing.term = document.Time("lease.term");
  timing.renew_every = document.Time("lease.renew_every");
  timing.heartbeat_every = document.Time("lease.heartbeat_every");
  timing.drift_margin = document.Time("lease.drift_margin");
  timing.store_timeout = document.Time("lease.store_timeout");
  timing.gone_roster_bound = document.Time("lease.gone_roster_bound");
  return timing;
}

DaemonSettings BuildDaemonSettings(const CheckedDocument& document) {
  DaemonSettings settings;
  settings.host = HostId(document.Text("host"));
  settings.data_centre = DataCentreId(document.Text("data_centre"));
  settings.callers_address = document.Text("listen.callers");
  settings.peers_address = document.Text("listen.peers");
  settings.operators_address = document.Text("listen.operators");
  settings.store_url = document.Text("platform.store_url");
  settings.host_list_url = document.Text("platform.host_list_url");
  settings.peer_secret_file = document.Text("files.peer_secret");
  settings.operator_tokens_file = document.Text("files.operator_tokens");
  settings.max_body_bytes = static_cast<std::size_t>(document.Integer("requests.max_body_bytes"));
  settings.max_deadline = document.Time("requests.max_deadline");
  settings.max_waiting_requests =
      static_cast<std::size_t>(document.Integer("requests.max_waiting"));
  settings.lease = ReadLeaseTiming(document);
  settings.traffic_threads = static_cast<std::uint32_t>(document.Integer("traffic_threads"));
  FillPeers(document, &settings);
  return settings;
}

}  // namespace internal

std::optional<DaemonSettings> ParseDaemonSettings(const std::string& text, const std::string& file,
                                                  std::vector<SettingsError>* errors) {
  const auto document = ReadDocument(DocumentKind::kDaemon, text, file, errors);
  if (!document) {
    return std::nullopt;
  }
  const std::size_t errors_before = errors->size();
  internal::DaemonRules rules(*document, errors);
  rules.CheckTimes();
  rules.CheckAddresses();
  if (errors->size() > errors_before) {
    return std::nullopt;
  }
  return internal::BuildDaemonSettings(*document);
}

}  // namespace pistachio

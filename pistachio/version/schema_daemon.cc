#include "pistachio/version/schema.h"

namespace pistachio::internal {

constexpr std::int64_t kSecond = 1000;  // milliseconds
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kMebibyte = 1 << 20;

KeySpec DaemonKey(const char* path, ValueKind kind, std::int64_t min, std::int64_t max,
                  const char* unit, const char* default_value, const char* description) {
  KeySpec spec;
  spec.document = DocumentKind::kDaemon;
  spec.path = path;
  spec.kind = kind;
  spec.required = *default_value == '\0';
  spec.min = min;
  spec.max = max;
  spec.unit = unit;
  spec.default_value = default_value;
  spec.description = description;
  return spec;
}

KeySpec OptionalDaemonKey(const char* path, ValueKind kind, const char* description) {
  constexpr std::int64_t kMaxPathLength = 4096;
  KeySpec spec = DaemonKey(path, kind, 1, kMaxPathLength, "", "", description);
  spec.required = false;
  return spec;
}

KeySpec RequiredDaemonKey(const char* path, ValueKind kind, const char* description) {
  constexpr std::int64_t kMaxTextLength = 4096;
  return DaemonKey(path, kind, 1, kMaxTextLength, "", "", description);
}

std::vector<KeySpec> JoinTables(std::vector<KeySpec> first, const std::vector<KeySpec>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

std::vector<KeySpec> DaemonIdentityKeys() {
  return {
      RequiredDaemonKey("host", ValueKind::kName, "Name of this entry host, unique in the fleet."),
      RequiredDaemonKey("data_centre", ValueKind::kName, "Data centre that the host stands in."),
      DaemonKey("traffic_threads", ValueKind::kInteger, 1, 64, "threads", "2",
                "Threads that carry callers' requests."),
      RequiredDaemonKey("listen.callers", ValueKind::kAddress, "Where callers' requests arrive."),
      RequiredDaemonKey("listen.peers", ValueKind::kAddress, "Where other entry hosts connect."),
      RequiredDaemonKey("listen.operators", ValueKind::kAddress,
                        "Where operators and metrics scrapers connect."),
      RequiredDaemonKey("platform.store_url", ValueKind::kUrl, "The platform's key-value service."),
      RequiredDaemonKey("platform.host_list_url", ValueKind::kUrl,
                        "The platform's list of live and leaving hosts."),
      RequiredDaemonKey("peers[].host", ValueKind::kName,
                        "Another entry host; this host's own name is passed over."),
      OptionalDaemonKey("peers[].data_centre", ValueKind::kName,
                        "The peer's data centre; this host's own if left out."),
      RequiredDaemonKey("peers[].address", ValueKind::kAddress, "The peer's `listen.peers`."),
      OptionalDaemonKey("files.peer_secret", ValueKind::kFile,
                        "File with the secret that entry hosts share; without it any process that "
                        "reaches the port is taken for a peer."),
      OptionalDaemonKey("files.operator_tokens", ValueKind::kFile,
                        "File with one operator token a line: token, blank, subtree, or `*` for "
                        "all. Without it only the tokens in the hierarchy count."),
  };
}

std::vector<KeySpec> DaemonLimitKeys() {
  return {
      DaemonKey("requests.max_body_bytes", ValueKind::kInteger, 1024, 64 * kMebibyte, "bytes",
                "1048576", "Largest request or answer body."),
      DaemonKey("requests.max_deadline", ValueKind::kDuration, 10, 60 * kMinute, "", "60s",
                "Longest deadline that a request may ask for."),
      DaemonKey("requests.max_waiting", ValueKind::kInteger, 1, 100'000, "requests", "2000",
                "Requests that may wait at this host, over all services."),
      DaemonKey("lease.term", ValueKind::kDuration, kSecond, 10 * kMinute, "", "9s",
                "How long a lease holds after its renewal was sent."),
      DaemonKey("lease.renew_every", ValueKind::kDuration, 100, 5 * kMinute, "", "3s",
                "Time between renewals; less than half of the term."),
      DaemonKey("lease.heartbeat_every", ValueKind::kDuration, 50, kMinute, "", "1s",
                "Time between heartbeats to each peer of the data centre."),
      DaemonKey("lease.drift_margin", ValueKind::kDuration, 10, kMinute, "", "500ms",
                "How much earlier a holder stops by its own clock; less than a quarter of the "
                "term."),
      DaemonKey("lease.store_timeout", ValueKind::kDuration, 50, kMinute, "", "2s",
                "How long a call on the key-value service may take; less than the term."),
      DaemonKey("lease.gone_roster_bound", ValueKind::kDuration, kSecond, 60 * kMinute, "", "2m",
                "Wait before units of a wholly replaced roster are taken over; more than the "
                "term."),
  };
}

const std::vector<KeySpec>& DaemonKeys() {
  static const std::vector<KeySpec> kKeys = JoinTables(DaemonIdentityKeys(), DaemonLimitKeys());
  return kKeys;
}

}  // namespace pistachio::internal

#include "pistachio/version/settings_spread.h"

#include <algorithm>
#include <utility>

#include "pistachio/process/runtime/random.h"
#include "pistachio/version/subtree_record.h"

namespace pistachio {

namespace internal {

constexpr std::size_t kWatchersInDataCentre = 2;
constexpr const char* kFromStore = "key-value service";

std::string StateOf(const SettingsDigest& theirs, const SettingsDigest& ours) {
  if (theirs.hash == ours.hash && theirs.version_sum == ours.version_sum) {
    return "same";
  }
  if (theirs.version_sum == ours.version_sum) {
    return "differs";
  }
  return theirs.version_sum < ours.version_sum ? "behind" : "ahead";
}

}  // namespace internal

SettingsSpread::SettingsSpread(HostId self, DataCentreId data_centre, const SpreadTiming& timing,
                               TimePoint now)
    : self(std::move(self)),
      data_centre(std::move(data_centre)),
      timing(timing),
      now(now),
      watch_at(now),
      retry(timing.retry_min),
      digest_at(now) {}

std::vector<SpreadAction> SettingsSpread::Handle(const SpreadEvent& event, TimePoint now) {
  this->now = now;
  this->actions.clear();
  std::visit([this](const auto& typed) { this->HandleEvent(typed); }, event);
  return std::exchange(this->actions, {});
}

void SettingsSpread::HandleEvent(const SpreadTick& /*event*/) {
  const Duration watch_bound = this->timing.watch_wait + this->timing.watch_margin;
  if (this->watch_sent && this->now - *this->watch_sent >= watch_bound) {
    this->watch_sent.reset();
    this->NoteStoreFailure();
  }
  this->UpdateRole();
  if (this->is_watcher && !this->watch_sent && this->now >= this->watch_at) {
    this->Watch();
  }
  if (this->now >= this->digest_at) {
    this->digest_at = this->now + this->timing.digest_every;
    this->SendDigests();
  }
}

void SettingsSpread::HandleEvent(const SpreadMembersChanged& event) {
  this->own_members = event.own;
  this->remote_members = event.remote;
  this->UpdateRole();
}

void SettingsSpread::HandleEvent(const SpreadStoreAnswered& event) {
  // What a late answer carries is as true as ever, but only the newest call is waited for.
  const bool awaited = this->watch_sent && event.call_id == this->last_call;
  if (awaited) {
    this->watch_sent.reset();
  }
  if (event.reply.status != StoreStatus::kOk) {
    if (awaited) {
      this->NoteStoreFailure();
    }
    return;
  }
  if (awaited) {
    this->NoteStoreSuccess(event.reply.revision);
  }
  this->TakeEntries(event.reply.entries);
}

void SettingsSpread::HandleEvent(const SpreadMessageReceived& event) {
  std::visit([&](const auto& message) { this->HandleMessage(event.from, message); }, event.message);
}

void SettingsSpread::HandleMessage(const HostId& from, const SettingsDigest& digest) {
  this->peers[from] = Peer{digest, this->now};
  const SettingsDigest ours = this->known.Digest();
  if (digest.hash == ours.hash && digest.version_sum == ours.version_sum) {
    return;
  }
  if (digest.version_sum >= ours.version_sum) {
    this->AskForNewer(from);
  } else {
    this->Send(from, this->OwnDigest());
  }
}

void SettingsSpread::HandleMessage(const HostId& from, const SettingsRequest& request) {
  SettingsUpdate update = this->known.NewerThan(request.have, this->timing.update_bytes);
  if (!update.subtrees.empty()) {
    this->Send(from, std::move(update));
  }
}

void SettingsSpread::HandleMessage(const HostId& from, const SettingsUpdate& update) {
  const std::vector<SubtreeVersion> taken = this->TakeAll(update.subtrees, from.str());
  if (!this->IsOwn(from)) {
    this->Relay(taken, from);
  }
  this->request_sent.reset();
  if (update.more && !taken.empty()) {
    this->AskForNewer(from);
  }
}

std::vector<HostId> SettingsSpread::ElectWatchers() const {
  // Hosts that cannot reach the service stand back, unless nobody can.
  const auto rank = [this](const HostId& host) {
    const auto peer = this->peers.find(host);
    const bool failing = host == this->self
                             ? this->StoreFailing()
                             : peer != this->peers.end() && peer->second.digest.store_failing;
    return std::make_pair(!failing, StableHash(host.str(), StableHash(this->data_centre.str())));
  };
  std::vector<HostId> hosts = this->own_members;
  if (!this->IsOwn(this->self)) {
    hosts.push_back(this->self);
  }
  const std::size_t count = std::min(hosts.size(), internal::kWatchersInDataCentre);
  std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count), hosts.end(),
                    [&](const HostId& a, const HostId& b) { return rank(a) > rank(b); });
  hosts.resize(count);
  return hosts;
}

void SettingsSpread::UpdateRole() {
  const std::vector<HostId> watchers = this->ElectWatchers();
  const bool elected = std::find(watchers.begin(), watchers.end(), this->self) != watchers.end();
  this->is_first_watcher = elected && watchers.front() == this->self;
  if (elected == this->is_watcher) {
    return;
  }
  this->is_watcher = elected;
  this->Report(elected ? EventCode::kSettingsWatchStarted : EventCode::kSettingsWatchStopped,
               {{"members", std::to_string(this->own_members.size())}});
}

void SettingsSpread::Watch() {
  this->last_call++;
  this->watch_sent = this->now;
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(this->timing.watch_wait);
  this->actions.emplace_back(
      SpreadCallStore{this->last_call, StoreRole::kSettings,
                      WatchCall{kCurrentSettingsPrefix, this->revision, wait}});
}

void SettingsSpread::NoteStoreSuccess(std::uint64_t store_revision) {
  this->failing_since.reset();
  this->failure_reported = false;
  this->retry = this->timing.retry_min;
  this->watch_at = this->now + this->timing.watch_gap;
  // A service that was reset counts from anew, so everything is read again.
  this->revision = store_revision < this->revision ? 0 : store_revision;
}

void SettingsSpread::TakeEntries(const std::vector<StoreEntry>& entries) {
  std::vector<SubtreeVersion> offered;
  for (const StoreEntry& entry : entries) {
    if (auto version = DecodeSubtreeRecord(entry.value)) {
      offered.push_back(std::move(*version));
    } else {
      this->Report(EventCode::kSettingsUnreadable, {{"key", entry.key}});
    }
  }
  const std::vector<SubtreeVersion> taken = this->TakeAll(offered, internal::kFromStore);
  if (this->is_first_watcher) {
    this->Relay(taken, this->self);
  }
}

void SettingsSpread::NoteStoreFailure() {
  if (!this->failing_since) {
    this->failing_since = this->now;
  }
  this->watch_at = this->now + this->retry;
  this->retry = std::min(this->retry * 2, this->timing.retry_max);
  if (this->StoreFailing() && !this->failure_reported) {
    this->failure_reported = true;
    this->Report(EventCode::kSettingsWatchFailing, {{"host", this->self.str()}});
  }
}

bool SettingsSpread::StoreFailing() const {
  return this->failing_since && this->now - *this->failing_since >= this->timing.failing_after;
}

std::vector<SubtreeVersion> SettingsSpread::TakeAll(const std::vector<SubtreeVersion>& offered,
                                                    const std::string& source) {
  std::vector<SubtreeVersion> taken;
  for (const SubtreeVersion& version : offered) {
    const VersionSet::TakeResult result = this->known.Take(version);
    if (result == VersionSet::TakeResult::kForked) {
      this->Report(EventCode::kSettingsForked, {{"subtree", version.subtree},
                                                {"version", std::to_string(version.version)},
                                                {"change", version.change_id}});
    }
    if (result != VersionSet::TakeResult::kTaken) {
      continue;
    }
    taken.push_back(version);
    this->actions.emplace_back(SettingsInForce{version});
    this->Report(EventCode::kSettingsInForce, {{"subtree", version.subtree},
                                               {"version", std::to_string(version.version)},
                                               {"change", version.change_id},
                                               {"from", source}});
  }
  return taken;
}

void SettingsSpread::Relay(const std::vector<SubtreeVersion>& taken, const HostId& except) {
  SettingsUpdate update;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < taken.size(); i++) {
    update.subtrees.push_back(taken[i]);
    bytes += taken[i].document.size();
    if (bytes < this->timing.update_bytes && i + 1 < taken.size()) {
      continue;
    }
    for (const HostId& host : this->own_members) {
      if (host != this->self && host != except) {
        this->Send(host, update);
      }
    }
    update.subtrees.clear();
    bytes = 0;
  }
}

void SettingsSpread::SendDigests() {
  const SettingsDigest digest = this->OwnDigest();
  for (const HostId& host : this->own_members) {
    if (host != this->self) {
      this->Send(host, digest);
    }
  }
  if (!this->is_watcher) {
    return;
  }
  this->digest_rounds++;
  const std::uint64_t offset = StableHash(this->self.str());
  for (const auto& [remote, hosts] : this->remote_members) {
    if (!hosts.empty()) {
      this->Send(hosts[(this->digest_rounds + offset) % hosts.size()], digest);
    }
  }
}

SettingsDigest SettingsSpread::OwnDigest() const {
  SettingsDigest digest = this->known.Digest();
  digest.data_centre = this->data_centre;
  digest.store_failing = this->StoreFailing();
  return digest;
}

void SettingsSpread::AskForNewer(const HostId& peer) {
  const bool waiting =
      this->request_sent && this->now - *this->request_sent < this->timing.request_timeout;
  if (waiting) {
    return;
  }
  this->request_sent = this->now;
  this->Send(peer, SettingsRequest{this->known.Numbers()});
}

bool SettingsSpread::IsOwn(const HostId& host) const {
  return std::find(this->own_members.begin(), this->own_members.end(), host) !=
         this->own_members.end();
}

void SettingsSpread::Send(const HostId& to, SettingsMessage message) {
  this->actions.emplace_back(SendSettingsMessage{to, std::move(message)});
}

bool SettingsSpread::StoreReachable() const {
  if (this->is_watcher) {
    return !this->failing_since.has_value();
  }
  const std::vector<HostId> watchers = this->ElectWatchers();
  return std::any_of(watchers.begin(), watchers.end(), [this](const HostId& watcher) {
    const auto peer = this->peers.find(watcher);
    return peer != this->peers.end() && !peer->second.digest.store_failing;
  });
}

void SettingsSpread::Report(EventCode code,
                            std::vector<std::pair<std::string, std::string>> fields) {
  this->actions.emplace_back(SpreadReport{EventRecord{code, std::move(fields)}});
}

SettingsStatus SettingsSpread::Status(TimePoint now) const {
  SettingsStatus status;
  status.host = this->self.str();
  status.store_reachable = this->StoreReachable();
  for (const auto& [subtree, version] : this->known.versions()) {
    status.subtrees.push_back(SubtreeRow{subtree, version.version, version.change_id});
  }
  const SettingsDigest ours = this->known.Digest();
  const auto add = [&](const HostId& host, const DataCentreId& data_centre) {
    HostSettingsRow row{host.str(), data_centre.str(), "unknown", std::nullopt, 0, 0};
    const auto peer = this->peers.find(host);
    if (host == this->self) {
      row.state = "same";
      row.heard_age = Duration(0);
      row.subtrees = ours.subtrees;
      row.version_sum = ours.version_sum;
    } else if (peer != this->peers.end()) {
      row.state = internal::StateOf(peer->second.digest, ours);
      row.heard_age = now - peer->second.heard_at;
      row.subtrees = peer->second.digest.subtrees;
      row.version_sum = peer->second.digest.version_sum;
    }
    status.hosts.push_back(std::move(row));
  };
  add(this->self, this->data_centre);
  for (const HostId& host : this->own_members) {
    if (host != this->self) {
      add(host, this->data_centre);
    }
  }
  for (const auto& [remote, hosts] : this->remote_members) {
    for (const HostId& host : hosts) {
      add(host, remote);
    }
  }
  return status;
}

}  // namespace pistachio

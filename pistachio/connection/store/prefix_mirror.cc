#include "pistachio/connection/store/prefix_mirror.h"

#include <utility>

namespace pistachio {

PrefixMirror::PrefixMirror(MirrorSettings settings, StorePort store, OnChange on_change,
                           OnLoaded on_loaded)
    : settings(std::move(settings)),
      store(std::move(store)),
      on_change(std::move(on_change)),
      on_loaded(std::move(on_loaded)) {}

void PrefixMirror::Start(TimePoint now) {
  const std::uint64_t generation = this->state->generation + 1;
  *this->state = State{};
  this->state->generation = generation;
  this->state->running = true;
  this->state->now = now;
  this->state->confirmed_at = now;
  this->state->valid_at = now;
  this->SendNextCall();
}

void PrefixMirror::Stop() {
  this->state->running = false;
  this->state->generation++;
}

void PrefixMirror::Tick(TimePoint now) {
  State& current = *this->state;
  current.now = now;
  if (!current.running) {
    return;
  }
  if (!current.in_flight) {
    const bool at_once = current.outdated() && !current.failed;
    if (at_once || now >= current.next_call) {
      this->SendNextCall();
    }
  } else if (!current.reading && current.outdated()) {
    // The store may hold this watch open for its whole wait.
    current.generation++;
    this->SendNextCall();
  }
}

void PrefixMirror::SendNextCall() {
  State& current = *this->state;
  current.in_flight = true;
  current.sent_at = current.now;
  if (current.outdated() && !current.reading) {
    // The answer to a watch may contain only a part of the changes.
    current.reading = true;
    current.last_key.clear();
    current.page_items.clear();
  }
  StoreCall call;
  Duration timeout = this->settings.read_timeout;
  if (current.reading) {
    call = ReadRange{this->settings.prefix, current.last_key};
  } else {
    // After a failed call, the copy is to be confirmed soon, also if nothing has changed.
    current.wait = current.failed ? std::chrono::milliseconds(1) : this->settings.watch_wait;
    call = WatchPrefix{this->settings.prefix, current.revision, current.wait};
    timeout = this->settings.watch_wait + this->settings.answer_slack;
  }
  if (current.cut_off) {
    timeout += this->settings.cut_off_extension;
  }
  this->store(
      call, timeout,
      [this, state = this->state, generation = current.generation](const StoreReply& reply) {
        if (state->generation == generation) {
          this->OnReply(reply);
        }
      });
}

void PrefixMirror::OnReply(const StoreReply& reply) {
  State& current = *this->state;
  current.in_flight = false;
  if (reply.status == StoreStatus::kOk) {
    current.confirmed_at = current.cut_off ? current.sent_at : current.now;
  }
  current.cut_off = reply.cut_off;
  current.failed = reply.status != StoreStatus::kOk && reply.status != StoreStatus::kMissing;
  if (reply.status == StoreStatus::kOk && current.reading) {
    this->OnPage(reply);
  } else if (reply.status == StoreStatus::kOk) {
    this->OnEvents(reply);
  } else {
    this->OnFailure(reply);
  }
}

void PrefixMirror::OnPage(const StoreReply& reply) {
  State& current = *this->state;
  if (current.last_key.empty()) {
    current.first_page_revision = reply.revision;
    current.first_page_sent_at = current.sent_at;
  }
  for (const StoreItem& item : reply.items) {
    current.page_items[item.key] = item;
  }
  if (reply.truncated && !reply.items.empty()) {
    current.last_key = reply.items.back().key;
    this->SendNextCall();
    return;
  }
  this->FinishReading();
}

void PrefixMirror::FinishReading() {
  State& current = *this->state;
  // The pages are not one snapshot. The watch resumes from the revision of the first page, so
  // changes between the pages are reported again.
  current.revision = current.first_page_revision;
  current.valid_at = current.first_page_sent_at;
  current.reading = false;
  current.last_key.clear();
  std::map<std::string, StoreItem> previous_items;
  previous_items.swap(current.items);
  current.items.swap(current.page_items);
  current.page_items.clear();
  current.loaded = true;
  const std::uint64_t generation = current.generation;
  for (auto& [key, item] : previous_items) {
    if (current.items.count(key) == 0) {
      item.removed = true;
      this->on_change(item);
    }
  }
  std::vector<StoreItem> changed;
  for (const auto& [key, item] : current.items) {
    const auto previous = previous_items.find(key);
    if (previous == previous_items.end() || previous->second.revision != item.revision) {
      changed.push_back(item);
    }
  }
  for (const StoreItem& item : changed) {
    this->on_change(item);
  }
  this->on_loaded();
  if (current.generation == generation && current.running && !current.in_flight) {
    this->SendNextCall();
  }
}

void PrefixMirror::OnEvents(const StoreReply& reply) {
  State& current = *this->state;
  const std::uint64_t generation = current.generation;
  // Without changes, the store has answered after the whole wait.
  const Duration waited = reply.items.empty() ? Duration(current.wait) : Duration(0);
  current.valid_at = std::min(current.now, current.sent_at + waited);
  current.revision = std::max(current.revision, reply.revision);
  for (const StoreItem& event : reply.items) {
    current.revision = std::max(current.revision, event.revision);
    const auto existing = current.items.find(event.key);
    if (existing != current.items.end() && existing->second.revision >= event.revision) {
      continue;
    }
    if (event.removed) {
      if (existing == current.items.end()) {
        continue;
      }
      StoreItem removed_item = existing->second;
      removed_item.removed = true;
      removed_item.revision = event.revision;
      current.items.erase(existing);
      this->on_change(removed_item);
    } else {
      current.items[event.key] = event;
      this->on_change(event);
    }
    if (current.generation != generation) {
      return;
    }
  }
  const bool changed = !reply.items.empty();
  current.next_call = changed ? current.now + this->settings.change_pause : current.now;
  if (current.running && !current.in_flight && current.next_call <= current.now) {
    this->SendNextCall();
  }
}

void PrefixMirror::OnFailure(const StoreReply& reply) {
  State& current = *this->state;
  if (reply.status == StoreStatus::kMissing) {
    current.reading = true;
    current.last_key.clear();
    current.page_items.clear();
  }
  const bool history_gone = reply.status == StoreStatus::kMissing;
  current.next_call = history_gone ? current.now : current.now + this->settings.retry_pause;
  if (history_gone) {
    this->SendNextCall();
  }
}

}  // namespace pistachio

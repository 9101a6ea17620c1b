#include <algorithm>

#include "emulator/simulated_cluster.h"

namespace pistachio::emulator {

namespace internal {

/// Shortest delay until a late order, which gets no answer, is executed.
constexpr Duration kMinLateDelay = std::chrono::seconds(2);
/// Range of the random delay that is added to the shortest one.
constexpr Duration kLateDelayRange = std::chrono::seconds(10);

}  // namespace internal

void SimulatedCluster::CallStore(const std::string& host, const StoreCall& call, Duration timeout,
                                 const StoreCallback& callback) {
  const std::uint64_t process_generation = this->all_hosts.at(host)->process_generation;
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, host, process_generation, answered,
                       callback](const StoreReply& reply) {
    if (!*answered) {
      *answered = true;
      this->RunOnHost(host, process_generation, [callback, reply] { callback(reply); });
    }
  };
  const bool write = WritesKeys(call);
  this->Schedule(this->clock_now + timeout, [answer, write] {
    StoreReply reply;
    reply.status = write ? StoreStatus::kUnknown : StoreStatus::kRefused;
    reply.reason = "timeout";
    answer(reply);
  });
  const auto* watch = std::get_if<WatchPrefix>(&call);
  const bool disconnected =
      this->store_faults.disconnected_hosts.count(host) != 0 ||
      (watch != nullptr && this->store_faults.lost_watches.count({host, watch->prefix}) != 0);
  const auto found = this->store_faults.write_faults.find(host);
  const HostWriteFaults host_faults =
      found == this->store_faults.write_faults.end() ? HostWriteFaults{} : found->second;
  const bool answer_lost =
      write && this->RandomFraction() < std::max(this->store_faults.lost_answer_probability,
                                                 host_faults.lost_answer_probability);
  const bool late =
      write && this->RandomFraction() < std::max(this->store_faults.late_write_probability,
                                                 host_faults.late_write_probability);
  const bool write_refused = write && host_faults.refuses;
  const bool refused = this->store_faults.refuse_probability > 0.0 &&
                       this->RandomFraction() < this->store_faults.refuse_probability;
  Duration answer_delay = this->settings.delay + this->store_faults.extra_latency;
  if (watch != nullptr) {
    const auto watch_delay = this->store_faults.watch_delays.find({host, watch->prefix});
    answer_delay +=
        watch_delay == this->store_faults.watch_delays.end() ? Duration{0} : watch_delay->second;
  }
  if (disconnected) {
    return;
  }
  if (late) {
    const Duration write_delay = std::chrono::duration_cast<Duration>(
        std::chrono::seconds(1) + std::chrono::seconds(5) * this->RandomFraction());
    this->Schedule(this->clock_now + write_delay, [this, call] { this->ApplyToStore(call); });
    return;
  }
  this->Schedule(this->clock_now + this->settings.delay, [this, call, answer, answer_lost, refused,
                                                          write_refused, answer_delay] {
    if (this->store_faults.down) {
      return;
    }
    if (this->store_faults.refuses || refused || write_refused) {
      StoreReply refusal;
      refusal.status = StoreStatus::kRefused;
      this->Schedule(this->clock_now + answer_delay, [answer, refusal] { answer(refusal); });
      return;
    }
    this->DeliverToStore(call, [this, answer, answer_lost, answer_delay](const StoreReply& reply) {
      if (!answer_lost) {
        this->Schedule(this->clock_now + answer_delay, [answer, reply] { answer(reply); });
      }
    });
  });
}

StoreReply SimulatedCluster::ApplyToStore(const StoreCall& call) {
  StoreReply reply = this->store.Apply(call, this->clock_now);
  const auto* transaction = std::get_if<Transaction>(&call);
  if (transaction == nullptr || reply.status != StoreStatus::kOk) {
    return reply;
  }
  std::set<std::string> changed;
  const auto add_id = [&changed](const std::string& key) {
    // An inbox also holds ends of runs, `in/CELL/e/TASK.RUN`.
    const bool in_inbox = key.compare(0, 3, "in/") == 0 && key.find("/e/", 3) == std::string::npos;
    const bool of_submission = key.compare(0, 3, "id/") == 0 || in_inbox;
    if (of_submission) {
      changed.insert(key.substr(key.rfind('/') + 1));
    }
  };
  for (const Put& put : transaction->puts) {
    add_id(put.key);
  }
  for (const std::string& key : transaction->removals) {
    add_id(key);
  }
  const auto& items = this->store.items();
  for (const std::string& id : changed) {
    const auto assigned = items.find("id/" + id);
    std::vector<std::string> inbox_cells;
    std::vector<std::string> cancel_cells;
    for (auto item = items.lower_bound("in/");
         item != items.end() && item->first.compare(0, 3, "in/") == 0; ++item) {
      const std::string& key = item->first;
      const std::size_t kind = key.find('/', 3) + 1;
      if (key.substr(kind + 2) == id) {
        (key[kind] == 'j' ? inbox_cells : cancel_cells).push_back(key.substr(3, kind - 4));
      }
    }
    this->rule_checker.OnKeysChanged(id, assigned == items.end() ? "" : assigned->second.value,
                                     inbox_cells, cancel_cells, this->clock_now);
  }
  return reply;
}

void SimulatedCluster::DeliverToStore(const StoreCall& call,
                                      const std::function<void(const StoreReply&)>& answer) {
  const auto* watch = std::get_if<WatchPrefix>(&call);
  if (watch != nullptr && (this->store_faults.silent_watches || !this->store.Poll(*watch))) {
    this->watches.push_back(WaitingWatch{*watch, this->clock_now + watch->wait, answer});
    return;
  }
  answer(this->ApplyToStore(call));
}

std::string SimulatedCluster::TargetNameAt(const std::string& address) const {
  return this->all_targets.count(address) != 0 ? address : "";
}

bool SimulatedCluster::CanReach(const std::string& host, const std::string& address) const {
  const std::string target = this->TargetNameAt(address);
  return !target.empty() && this->all_targets.at(target)->up &&
         this->order_faults.unreachable_pairs.count({host, target}) == 0;
}

void SimulatedCluster::CutTarget(const std::string& name) {
  const TimePoint cut_at = this->cut_targets.emplace(name, this->clock_now).first->second;
  for (const auto& [host, state] : this->all_hosts) {
    this->order_faults.unreachable_pairs.insert({host, name});
  }
  this->Schedule(cut_at + this->target_return.registration_lifetime, [this, name, cut_at] {
    const auto cut = this->cut_targets.find(name);
    if (cut != this->cut_targets.end() && cut->second == cut_at) {
      this->DeregisterTarget(name);
    }
  });
}

void SimulatedCluster::EndCut(const std::string& name) {
  if (this->cut_targets.erase(name) == 0) {
    return;
  }
  for (const auto& [host, state] : this->all_hosts) {
    this->order_faults.unreachable_pairs.erase({host, name});
  }
  if (this->all_targets.at(name)->up) {
    this->WriteRegistration(name);
  }
}

void SimulatedCluster::DeliverToTarget(const std::string& host, const std::string& address,
                                       const std::function<void(bool)>& deliver) {
  if (this->CanReach(host, address)) {
    deliver(false);
    return;
  }
  const std::string target = this->TargetNameAt(address);
  const bool waits = this->target_return.executes_missed_orders && !target.empty() &&
                     !this->all_targets.at(target)->up &&
                     this->order_faults.unreachable_pairs.count({host, target}) == 0;
  if (waits) {
    this->missed_orders[target].push_back([this, host, address, deliver] {
      if (this->CanReach(host, address)) {
        deliver(true);
      }
    });
  }
}

OrderReply SimulatedCluster::ExecuteOrder(const std::string& host, const Order& order,
                                          FencingToken token, bool late, TimePoint sent_at) {
  FakeTarget& target = *this->all_targets.at(this->TargetNameAt(order.address));
  if (const auto* start = std::get_if<StartOrder>(&order.order)) {
    const OrderReply reply = target.Start(
        *start, order.target, token, late || !this->IsUndisturbed(host), sent_at, this->clock_now);
    if (late) {
      this->rule_checker.OnLateStart(start->task, start->run, target.entry.id.str(),
                                     this->clock_now);
    }
    return reply;
  }
  if (const auto* stop = std::get_if<StopOrder>(&order.order)) {
    return target.Stop(*stop, order.target, token, this->clock_now);
  }
  return target.Pace(std::get<PaceOrder>(order.order), order.target, token, this->clock_now);
}

void SimulatedCluster::SendOrder(const std::string& host, const Order& order, FencingToken token,
                                 const std::function<void(const OrderReply&)>& callback) {
  const std::uint64_t process_generation = this->all_hosts.at(host)->process_generation;
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, host, process_generation, answered,
                       callback](const OrderReply& reply) {
    if (!*answered) {
      *answered = true;
      this->RunOnHost(host, process_generation, [callback, reply] { callback(reply); });
    }
  };
  const TimePoint sent_at = this->clock_now + this->order_faults.send_delay;
  this->Schedule(sent_at + order.timeout, [answer] { answer(OrderReply{}); });
  if (sent_at >= order.send_before) {
    return;
  }
  const bool late = this->RandomFraction() < this->order_faults.late_probability;
  Duration delivery_delay = this->settings.delay;
  if (late) {
    delivery_delay =
        internal::kMinLateDelay +
        std::chrono::duration_cast<Duration>(internal::kLateDelayRange * this->RandomFraction());
    this->last_late_order = std::max(this->last_late_order, sent_at + delivery_delay);
  }
  const auto deliver = [this, host, order, token, late, answer, sent_at](bool missed) {
    const OrderReply reply = this->ExecuteOrder(host, order, token, late || missed, sent_at);
    this->CrashIfDue(this->TargetNameAt(order.address));
    if (!late && this->CanReach(host, order.address)) {
      this->Schedule(this->clock_now + this->settings.delay, [answer, reply] { answer(reply); });
    }
  };
  this->Schedule(sent_at + delivery_delay, [this, host, address = order.address, deliver] {
    this->DeliverToTarget(host, address, deliver);
  });
}

void SimulatedCluster::SendHold(const std::string& host, const Order& order, FencingToken token,
                                const std::function<void(const HoldReply&)>& callback) {
  const std::uint64_t process_generation = this->all_hosts.at(host)->process_generation;
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, host, process_generation, answered, callback](const HoldReply& reply) {
    if (!*answered) {
      *answered = true;
      this->RunOnHost(host, process_generation, [callback, reply] { callback(reply); });
    }
  };
  this->Schedule(this->clock_now + order.timeout, [answer] { answer(HoldReply{}); });
  // Without such faults, no random number is drawn: the other draws of a seed stay the same.
  const double lost_probability = this->order_faults.lost_hold_probability;
  const double draw = lost_probability > 0 ? this->RandomFraction() : 1.0;
  const bool lost = draw < lost_probability;
  Duration delivery_delay = this->settings.delay;
  if (draw < lost_probability / 2) {
    delivery_delay =
        internal::kMinLateDelay +
        std::chrono::duration_cast<Duration>(internal::kLateDelayRange * this->RandomFraction());
  }
  const auto execute = [this, host, order, token, lost, answer](bool /*missed*/) {
    const std::string name = this->TargetNameAt(order.address);
    FakeTarget& target = *this->all_targets.at(name);
    const HoldOrder& hold = std::get<HoldOrder>(order.order);
    const HoldReply immediate_reply = target.Hold(hold, order.target, token, this->clock_now);
    const auto deliver = [this, host, order, lost, answer](const HoldReply& reply) {
      if (!lost && this->CanReach(host, order.address)) {
        this->Schedule(
            this->clock_now + this->settings.delay + this->order_faults.hold_answer_delay,
            [answer, reply] { answer(reply); });
      }
    };
    const bool must_wait = immediate_reply.status == OrderStatus::kDone && hold.wait.count() > 0 &&
                           immediate_reply.finished.empty();
    if (must_wait) {
      this->holds.push_back(WaitingHold{name, target.entry.incarnation, hold, token,
                                        this->clock_now + hold.wait, deliver});
    } else {
      deliver(immediate_reply);
    }
  };
  this->Schedule(this->clock_now + delivery_delay, [this, host, address = order.address, execute] {
    this->DeliverToTarget(host, address, execute);
  });
}

}  // namespace pistachio::emulator

#include "pistachio/process/daemon/control_metrics.h"

#include <sys/resource.h>

namespace pistachio {

namespace internal {

prometheus::Family<prometheus::Gauge>* MakeFamily(prometheus::Registry& registry, const char* name,
                                                  const char* help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void SetKind(prometheus::Family<prometheus::Gauge>* family, const char* kind, double value) {
  family->Add({{"kind", kind}}).Set(value);
}

double Seconds(const timeval& time) {
  return std::chrono::duration<double>(std::chrono::seconds(time.tv_sec) +
                                       std::chrono::microseconds(time.tv_usec))
      .count();
}

}  // namespace internal

using internal::MakeFamily;
using internal::SetKind;

ControlMetrics::ControlMetrics(prometheus::Registry& registry)
    : requests(MakeFamily(registry, "pistachio_requests",
                          "Requests, attempts and outcomes since the start, by kind.")),
      store(MakeFamily(registry, "pistachio_store_traffic",
                       "Calls, bytes and failures at the key-value service, by role.")),
      peers(MakeFamily(registry, "pistachio_peer_traffic",
                       "Messages and bytes between entry hosts, by kind.")),
      tasks(MakeFamily(registry, "pistachio_tasks",
                       "Commands to targets, assignments to racks and units owned, by kind.")),
      process(MakeFamily(registry, "pistachio_process",
                         "Processor seconds and memory bytes of this process, by kind.")) {}

void ControlMetrics::Set(const BrokerCounters& counters) {
  SetKind(this->requests, "arrived", static_cast<double>(counters.arrived));
  SetKind(this->requests, "answered", static_cast<double>(counters.answered));
  SetKind(this->requests, "not_run", static_cast<double>(counters.not_run));
  SetKind(this->requests, "unknown", static_cast<double>(counters.unknown));
  SetKind(this->requests, "deadline_passed", static_cast<double>(counters.deadline_passed));
  SetKind(this->requests, "first_attempts", static_cast<double>(counters.first_attempts));
  SetKind(this->requests, "retries", static_cast<double>(counters.retries));
  SetKind(this->requests, "hedges", static_cast<double>(counters.hedges));
  SetKind(this->requests, "late_answers", static_cast<double>(counters.late_answers));
  SetKind(this->requests, "duplicate_answers", static_cast<double>(counters.duplicate_answers));
  SetKind(this->requests, "ejections", static_cast<double>(counters.ejections));
}

void ControlMetrics::Set(const StoreTraffic& traffic) {
  for (const StoreRole role : {StoreRole::kMembership, StoreRole::kOwnership, StoreRole::kLedger,
                               StoreRole::kSettings, StoreRole::kOperator}) {
    const StoreTraffic::Row row = traffic.Read(role);
    const std::string name = NameOf(role);
    this->store->Add({{"role", name}, {"kind", "calls"}}).Set(static_cast<double>(row.calls));
    this->store->Add({{"role", name}, {"kind", "bytes"}}).Set(static_cast<double>(row.bytes));
    this->store->Add({{"role", name}, {"kind", "failures"}}).Set(static_cast<double>(row.failures));
  }
}

void ControlMetrics::Set(const PeerTraffic& traffic) {
  SetKind(this->peers, "sent_messages", static_cast<double>(traffic.sent_messages));
  SetKind(this->peers, "sent_bytes", static_cast<double>(traffic.sent_bytes));
  SetKind(this->peers, "received_messages", static_cast<double>(traffic.received_messages));
  SetKind(this->peers, "received_bytes", static_cast<double>(traffic.received_bytes));
  SetKind(this->peers, "refused", static_cast<double>(traffic.refused));
}

void ControlMetrics::Set(const ControlCounters& counters, std::size_t owned_units,
                         bool store_reachable) {
  SetKind(this->tasks, "commands", static_cast<double>(counters.commands));
  SetKind(this->tasks, "assignments", static_cast<double>(counters.assignments));
  SetKind(this->tasks, "owned_units", static_cast<double>(owned_units));
  SetKind(this->process, "store_reachable", store_reachable ? 1 : 0);
}

void ControlMetrics::SetProcessCost() {
  constexpr double kBytesPerKib = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  SetKind(this->process, "cpu_seconds",
          internal::Seconds(usage.ru_utime) + internal::Seconds(usage.ru_stime));
  SetKind(this->process, "peak_memory_bytes", static_cast<double>(usage.ru_maxrss) * kBytesPerKib);
}

}  // namespace pistachio

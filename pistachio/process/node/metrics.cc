#include "pistachio/process/node/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pistachio {

namespace internal {

/// Upper bounds of the latency buckets, in seconds: from the time of one store call to the whole
/// time that a caller waits.
const prometheus::Histogram::BucketBoundaries& AnswerLatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBoundaries = {0.005, 0.01, 0.02, 0.04, 0.08,
                                                                      0.15,  0.3,  0.6,  1.2,  3.0};
  return kBoundaries;
}

}  // namespace internal

struct Metrics::State {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>* answers = nullptr;
  prometheus::Histogram* answer_seconds = nullptr;
  prometheus::Family<prometheus::Gauge>* cells = nullptr;
  prometheus::Family<prometheus::Gauge>* cell_orders = nullptr;
  prometheus::Gauge* store_up = nullptr;
  prometheus::Family<prometheus::Gauge>* store_calls = nullptr;
  prometheus::Gauge* configuration_version = nullptr;
  prometheus::Gauge* evacuated_data_centres = nullptr;
  prometheus::Family<prometheus::Gauge>* evacuation_runs = nullptr;
  prometheus::Family<prometheus::Gauge>* servers = nullptr;
};

Metrics::Metrics() : state(std::make_unique<State>()) {
  prometheus::Registry& registry = this->state->registry;
  this->state->answers = &prometheus::BuildCounter()
                              .Name("pistachio_answers_total")
                              .Help("Number of answers to callers, by outcome")
                              .Register(registry);
  this->state->answer_seconds =
      &prometheus::BuildHistogram()
           .Name("pistachio_answer_seconds")
           .Help("Seconds from the receipt of a complete request to its answer")
           .Register(registry)
           .Add({}, internal::AnswerLatencyBuckets());
  this->state->cells =
      &prometheus::BuildGauge()
           .Name("pistachio_cell")
           .Help("Estimated backlog of each owned cell: seconds that batch work waits")
           .Register(registry);
  this->state->cell_orders =
      &prometheus::BuildGauge()
           .Name("pistachio_cell_orders")
           .Help("Orders sent and run ends seen in each owned cell since this host took it")
           .Register(registry);
  const auto gauge = [&registry](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
  };
  this->state->store_up =
      gauge("pistachio_store_up", "1 while this host can reach the store, otherwise 0");
  this->state->store_calls =
      &prometheus::BuildGauge()
           .Name("pistachio_store_calls")
           .Help("Number of calls to the store since the start of the process, by kind")
           .Register(registry);
  this->state->configuration_version =
      gauge("pistachio_configuration_version", "Version of the configuration in force");
  this->state->evacuated_data_centres =
      gauge("pistachio_evacuated_data_centres", "Number of data centres under evacuation");
  this->state->evacuation_runs =
      &prometheus::BuildGauge()
           .Name("pistachio_evacuation_runs")
           .Help("Runs left in the data centres under evacuation, in each owned cell")
           .Register(registry);
  this->state->servers =
      &prometheus::BuildGauge()
           .Name("pistachio_http_server")
           .Help("What each HTTP server holds and how many requests it has refused, by port")
           .Register(registry);
}

Metrics::~Metrics() = default;

void Metrics::CountAnswer(Outcome outcome, Duration latency) {
  this->state->answers->Add({{"outcome", NameOf(outcome)}}).Increment();
  this->state->answer_seconds->Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::Update(const Node& node) {
  this->state->store_up->Set(node.store_monitor().reachable() ? 1 : 0);
  for (const auto& [kind, count] : node.store_monitor().calls()) {
    this->state->store_calls->Add({{"kind", kind}}).Set(static_cast<double>(count));
  }
  this->state->configuration_version->Set(static_cast<double>(node.configuration_version()));
  this->state->evacuated_data_centres->Set(static_cast<double>(node.evacuated().size()));
  for (const auto& [id, ownership] : node.cell_ownerships()) {
    const Cell* cell = ownership.cell();
    if (cell == nullptr) {
      continue;
    }
    const auto set = [&id = id](prometheus::Family<prometheus::Gauge>* family, const char* what,
                                double value) {
      family->Add({{"cell", id.str()}, {"what", what}}).Set(value);
    };
    set(this->state->cells, "backlog_seconds",
        std::chrono::duration<double>(cell->Backlog()).count());
    set(this->state->cells, "over_bound_share", cell->OverBoundTimeShare());
    const CellCounters& counts = cell->counters();
    set(this->state->cell_orders, "starts", static_cast<double>(counts.starts));
    set(this->state->cell_orders, "start_retries", static_cast<double>(counts.start_retries));
    set(this->state->cell_orders, "stops", static_cast<double>(counts.stops));
    set(this->state->cell_orders, "holds", static_cast<double>(counts.holds));
    set(this->state->cell_orders, "paces", static_cast<double>(counts.paces));
    set(this->state->cell_orders, "starts_withheld", static_cast<double>(counts.starts_withheld));
    set(this->state->cell_orders, "submissions_moved", static_cast<double>(counts.moves));
    this->state->evacuation_runs->Add({{"cell", id.str()}})
        .Set(static_cast<double>(cell->ProgressOfEvacuations().runs));
    set(this->state->cell_orders, "harm_waits", static_cast<double>(counts.harm_waits));
    set(this->state->cell_orders, "ends_done", static_cast<double>(counts.ends_done));
    set(this->state->cell_orders, "ends_failed", static_cast<double>(counts.ends_failed));
    set(this->state->cell_orders, "ends_other", static_cast<double>(counts.ends_other));
    set(this->state->cell_orders, "targets_lost", static_cast<double>(counts.targets_lost));
    set(this->state->cell_orders, "targets_crashed", static_cast<double>(counts.targets_crashed));
    set(this->state->cell_orders, "tasks_given_up", static_cast<double>(counts.tasks_given_up));
    set(this->state->cell_orders, "orphaned_runs", static_cast<double>(counts.orphaned_runs));
    set(this->state->cell_orders, "forwarded_ends", static_cast<double>(counts.forwarded_ends));
    set(this->state->cell_orders, "late_stops", static_cast<double>(counts.late_stops));
    set(this->state->cell_orders, "preemptions", static_cast<double>(counts.preemptions));
    set(this->state->cell_orders, "delayed_set_aside", static_cast<double>(counts.set_aside));
    set(this->state->cell_orders, "delayed_given_up", static_cast<double>(counts.given_up));
  }
}

void Metrics::SetServerUsage(const std::string& port, const HttpServerUsage& usage) {
  const auto set = [this, &port](const char* what, std::size_t value) {
    this->state->servers->Add({{"port", port}, {"what", what}}).Set(static_cast<double>(value));
  };
  set("connections", usage.connections);
  set("requests", usage.requests);
  set("body_bytes", usage.body_bytes);
  set("request_memory", usage.request_memory);
  set("closed_connections", usage.closed_connections);
  set("refused_too_large", usage.too_large);
  set("refused_without_memory", usage.without_memory);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

}  // namespace pistachio

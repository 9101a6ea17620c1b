#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "pistachio/connection/peer/hub.h"
#include "pistachio/connection/platform/key_value_client.h"
#include "pistachio/process/daemon/control_state.h"
#include "pistachio/request/counters.h"

namespace pistachio {

/// \brief Gauges of what a daemon has counted; set right before each scrape.
class ControlMetrics {
 public:
  explicit ControlMetrics(prometheus::Registry& registry);

  void Set(const BrokerCounters& counters);
  void Set(const StoreTraffic& traffic);
  void Set(const PeerTraffic& traffic);
  void Set(const ControlCounters& counters, std::size_t owned_units, bool store_reachable);
  /// \brief Processor time and memory of this process.
  void SetProcessCost();

 private:
  prometheus::Family<prometheus::Gauge>* requests;
  prometheus::Family<prometheus::Gauge>* store;
  prometheus::Family<prometheus::Gauge>* peers;
  prometheus::Family<prometheus::Gauge>* tasks;
  prometheus::Family<prometheus::Gauge>* process;
};

}  // namespace pistachio

#pragma once

#include <memory>
#include <string>

#include "pistachio/connection/http/http_server.h"
#include "pistachio/process/node/node.h"

namespace pistachio {

/// \brief Prometheus metrics of the process. Not thread-safe; used on the control thread only.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// \brief Records one answer to a caller. \param latency time from the receipt of the complete
  /// request to its answer
  void CountAnswer(Outcome outcome, Duration latency);

  /// \brief Sets all gauges to the current values of \a node.
  void Update(const Node& node);

  /// \brief Sets the gauges of an HTTP server. \param port `callers`, `readiness` or `control`
  void SetServerUsage(const std::string& port, const HttpServerUsage& usage);

  /// \returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio

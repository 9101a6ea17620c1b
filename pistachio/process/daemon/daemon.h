#pragma once

#include <memory>
#include <optional>
#include <string>

#include "pistachio/process/daemon/secrets.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/version/daemon_settings.h"

namespace pistachio {

/// \brief Why a daemon does not start.
struct DaemonError {
  std::string cause;
  std::string next_step;
};

/// \brief One entry host: its ports, threads and control state, from its settings.
class Daemon {
 public:
  Daemon(const DaemonSettings& settings, const Clock& clock);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// \brief Opens the ports and starts the threads. \returns false if it cannot; see last_error().
  bool Start();

  /// \brief Stops gracefully: withdraws readiness, hands its units over, lets requests finish.
  ///
  /// Returns once that is done, at the latest after the bound for stopping. Requests that are left
  /// then are reported by id.
  void Stop();

  const DaemonError& last_error() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio

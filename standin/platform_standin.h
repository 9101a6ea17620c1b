#pragma once

#include <memory>
#include <string>
#include <vector>

#include "pistachio/connection/http.h"

namespace pistachio::standin {

/// \brief Size and location of the simulated platform.
struct StandinSettings {
  std::string data_centre = "north";
  std::uint32_t targets = 3;  ///< number of targets
};

/// \brief Stand-in for the platform in tests: an in-memory key-value store and simulated targets
/// that are served over HTTP on ports chosen by the kernel.
class PlatformStandin {
 public:
  explicit PlatformStandin(const StandinSettings& settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// \brief Opens the ports and starts serving. \returns false if a port cannot be opened.
  bool Start();

  /// \returns the text of a settings file for a host that uses the stand-in as its platform.
  ///
  /// \param callers address on which the host serves callers
  /// \param readiness address on which the host serves its readiness
  /// \param control address on which the host serves its metrics
  std::string HostSettingsText(const ListenAddress& callers, const ListenAddress& readiness,
                               const ListenAddress& control) const;

  /// \brief Writes an item of the store, as another writer does.
  void WriteItem(const std::string& key, const std::string& value);

  /// \brief Writes the registration of a target anew, with other labels.
  ///
  /// \param index of the target, from 0
  void SetLabels(std::size_t index, const std::vector<std::string>& labels);

  /// \returns the rule violations that the targets have observed, one line each.
  std::string Violations() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio::standin

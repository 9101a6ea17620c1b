#include "bench/policy/deployment.h"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <cstdlib>
#include <sstream>

namespace pistachio::bench {

namespace internal {

double Seconds(const std::string& text) {
  char* unit = nullptr;
  const double amount = std::strtod(text.c_str(), &unit);
  const std::string suffix = unit;
  if (suffix == "us") {
    return amount * 1e-6;
  }
  return suffix == "ms" ? amount * 1e-3 : amount;
}

void AddTargets(const toml::table& data_centre, Deployment& deployment) {
  const auto name = data_centre["name"].value_or<std::string>("");
  const auto targets = data_centre["targets"].value_or<std::int64_t>(0);
  const auto per_rack = data_centre["targets_per_rack"].value_or<std::int64_t>(1);
  for (std::int64_t i = 0; i < targets; ++i) {
    const std::string rack = name + "-r" + std::to_string(i / per_rack);
    deployment.racks.emplace_back(rack);
    deployment.targets.emplace_back(rack + "-t" + std::to_string(i % per_rack));
  }
}

// What runs on the machines is not part of the settings: operators submit it.
void AddWork(Deployment& deployment) {
  if (deployment.name == "guild") {
    deployment.services = {{"alarm-check", 0.10, 0.36},
                           {"alarm-relay", 0.12, 0.43},
                           {"line-watch", 0.20, 0.71},
                           {"callout", 0.15, 0.53}};
    deployment.batch_classes = {"compliance-log", "sensor-archive", "shed-map",
                                "fan-model",      "log-index",      "backup"};
  } else {
    deployment.services = {
        {"redeem", 0.16, 0.57}, {"provider-pay", 0.22, 0.78}, {"levy-balance", 0.12, 0.43}};
    deployment.batch_classes = {"reconcile",  "claims-report",  "statement-print",
                                "audit-scan", "learner-import", "backup"};
  }
  const std::size_t instances = 2 * deployment.targets.size();
  deployment.instances_per_service = instances / deployment.services.size();
}

}  // namespace internal

std::optional<Deployment> ReadDeployment(const std::string& path, std::string* reason) {
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << path << ": " << error.description();
    *reason = text.str();
    return std::nullopt;
  }
  Deployment deployment;
  deployment.name = file["deployment"]["name"].value_or<std::string>("");
  deployment.one_way_clients_s =
      internal::Seconds(file["deployment"]["one_way_clients"].value_or<std::string>("0ms"));
  if (const toml::array* data_centres = file["data_centre"].as_array()) {
    for (const toml::node& node : *data_centres) {
      if (const toml::table* data_centre = node.as_table()) {
        internal::AddTargets(*data_centre, deployment);
      }
    }
  }
  const auto target = file["target"];
  deployment.capacity.cpu_millis = target["cpu_millis"].value_or<std::int64_t>(0);
  deployment.capacity.memory_mib = target["memory_mib"].value_or<std::int64_t>(0);
  deployment.capacity.accelerators = target["accelerators"].value_or<std::int64_t>(0);
  deployment.slots = static_cast<std::size_t>(target["slots"].value_or<std::int64_t>(0));
  const auto weights = file["policy"];
  deployment.weights.tail = weights["tail_latency"].value_or(deployment.weights.tail);
  deployment.weights.throughput =
      weights["batch_throughput"].value_or(deployment.weights.throughput);
  deployment.weights.eviction = weights["evictions"].value_or(deployment.weights.eviction);
  if (deployment.targets.empty() || deployment.slots == 0) {
    *reason = path + ": no targets or no slots";
    return std::nullopt;
  }
  internal::AddWork(deployment);
  return deployment;
}

}  // namespace pistachio::bench

#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pistachio {

/// \brief Strongly typed string id.
///
/// Ids with different tags are different types that neither convert to nor compare with each other,
/// so the compiler rejects a host's id where a target's is expected.
template <class Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string name) : name(std::move(name)) {}

  const std::string& str() const { return this->name; }
  bool empty() const { return this->name.empty(); }

  friend bool operator==(const NamedId& a, const NamedId& b) { return a.name == b.name; }
  friend bool operator!=(const NamedId& a, const NamedId& b) { return a.name != b.name; }
  friend bool operator<(const NamedId& a, const NamedId& b) { return a.name < b.name; }
  friend std::ostream& operator<<(std::ostream& out, const NamedId& id) { return out << id.name; }

 private:
  std::string name;
};

/// \brief Id of a host: a machine that runs `pistachiod`.
using HostId = NamedId<struct HostIdTag>;
/// \brief Id of a target: a worker machine that runs services and batch tasks.
using TargetId = NamedId<struct TargetIdTag>;
/// \brief Id of a rack of targets inside one data centre.
using RackId = NamedId<struct RackIdTag>;
/// \brief Id of a data centre: the unit that a network partition can cut off.
using DataCentreId = NamedId<struct DataCentreIdTag>;
/// \brief Id of a team: the owner of one subtree of the settings and of a quota.
using TeamId = NamedId<struct TeamIdTag>;
/// \brief Id of a job: a set of tasks submitted together; services are jobs that never finish.
using JobId = NamedId<struct JobIdTag>;
/// \brief Id of a latency-critical service that callers send requests to.
using ServiceId = NamedId<struct ServiceIdTag>;

}  // namespace pistachio

namespace std {

template <class Tag>
struct hash<pistachio::NamedId<Tag>> {
  size_t operator()(const pistachio::NamedId<Tag>& id) const noexcept {
    return hash<string>()(id.str());
  }
};

}  // namespace std

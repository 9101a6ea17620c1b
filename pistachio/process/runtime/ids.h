#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace pistachio {

/// \brief A name that cannot be mixed up with the name of another kind of thing.
///
/// Two `NamedId` types with different tags do not compare, convert or hash alike, so a host's name
/// never lands where a target's is wanted.
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

/// \brief An entry host: a machine that runs `pistachiod`.
using HostId = NamedId<struct HostIdTag>;
/// \brief A target: a worker machine that runs services and batch tasks.
using TargetId = NamedId<struct TargetIdTag>;
/// \brief A rack of targets inside one data centre; the unit of placement ownership.
using RackId = NamedId<struct RackIdTag>;
/// \brief A data centre: the unit that a network partition can cut off.
using DataCentreId = NamedId<struct DataCentreIdTag>;
/// \brief A team: the owner of one subtree of the settings and of a quota.
using TeamId = NamedId<struct TeamIdTag>;
/// \brief A job: a set of tasks submitted together; services are jobs that never finish.
using JobId = NamedId<struct JobIdTag>;
/// \brief A latency-critical service that callers send requests to.
using ServiceId = NamedId<struct ServiceIdTag>;
/// \brief A caller, as told by its credentials; fairness is kept between callers.
using CallerId = NamedId<struct CallerIdTag>;
/// \brief A unit of exclusive ownership: a rack or a share of a data centre's job queue.
using UnitId = NamedId<struct UnitIdTag>;

/// \brief One task of a job. Ordered by job, then by index.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;

  std::string str() const { return this->job.str() + "/" + std::to_string(this->index); }
  friend bool operator==(const TaskId& a, const TaskId& b) {
    return a.index == b.index && a.job == b.job;
  }
  friend bool operator!=(const TaskId& a, const TaskId& b) { return !(a == b); }
  friend bool operator<(const TaskId& a, const TaskId& b) {
    return std::tie(a.job, a.index) < std::tie(b.job, b.index);
  }
};

/// \brief Fencing token of a unit's owner; it only grows, one step at each change of owner.
using Epoch = std::uint64_t;
/// \brief Number of a task's attempt, from 1; a report of an older attempt changes nothing.
using AttemptNumber = std::uint32_t;

/// \brief One life of an entry host's process. A restarted process is a new member.
struct MemberId {
  HostId host;
  std::uint64_t incarnation = 0;

  std::string str() const { return this->host.str() + "#" + std::to_string(this->incarnation); }
  friend bool operator==(const MemberId& a, const MemberId& b) {
    return a.incarnation == b.incarnation && a.host == b.host;
  }
  friend bool operator!=(const MemberId& a, const MemberId& b) { return !(a == b); }
  friend bool operator<(const MemberId& a, const MemberId& b) {
    return std::tie(a.host, a.incarnation) < std::tie(b.host, b.incarnation);
  }
};

}  // namespace pistachio

namespace std {

template <class Tag>
struct hash<pistachio::NamedId<Tag>> {
  size_t operator()(const pistachio::NamedId<Tag>& id) const noexcept {
    return hash<string>()(id.str());
  }
};

template <>
struct hash<pistachio::TaskId> {
  size_t operator()(const pistachio::TaskId& id) const noexcept {
    constexpr size_t kMixer = 0x9e3779b97f4a7c15U;
    return hash<string>()(id.job.str()) ^ (id.index * kMixer);
  }
};

}  // namespace std

#include "pistachio/version/operator_api.h"

#include <array>
#include <nlohmann/json.hpp>

#include "pistachio/version/job_document.h"
#include "pistachio/version/values.h"

namespace nlohmann {

template <>
struct adl_serializer<pistachio::Duration> {
  static void to_json(json& out, const pistachio::Duration& value) {
    out = pistachio::FormatDuration(value);
  }
  static void from_json(const json& in, pistachio::Duration& value) {
    const auto read = pistachio::ParseDuration(in.get<std::string>());
    if (!read) {
      throw json::other_error::create(501, "not a duration", &in);
    }
    value = *read;
  }
};

template <class T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& out, const std::optional<T>& value) {
    out = value ? json(*value) : json(nullptr);
  }
  static void from_json(const json& in, std::optional<T>& value) {
    value = in.is_null() ? std::optional<T>() : std::optional<T>(in.get<T>());
  }
};

}  // namespace nlohmann

namespace pistachio {

using nlohmann::json;

const char* NameOf(ChangeResult result) {
  switch (result) {
    case ChangeResult::kAccepted:
      return "accepted";
    case ChangeResult::kRejected:
      return "rejected";
    case ChangeResult::kUnknown:
      break;
  }
  return "unknown";
}

// Found by nlohmann::json through the arguments' namespace, so they are not in `internal`.

void to_json(json& out, ChangeResult result) { out = NameOf(result); }

void from_json(const json& in, ChangeResult& result) {
  const auto name = in.get<std::string>();
  constexpr std::array<ChangeResult, 2> kCertain = {ChangeResult::kAccepted,
                                                    ChangeResult::kRejected};
  result = ChangeResult::kUnknown;  // also for a name that a newer side may send
  for (const ChangeResult known : kCertain) {
    if (name == NameOf(known)) {
      result = known;
    }
  }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpu_millis, memory_mib, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SettingsError, file, line, key, problem,
                                                allowed_range)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubtreeVersion, subtree, version, change_id,
                                                document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ApiError, reason, next_step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ActionAnswer, subject, result, reason)

void to_json(json& out, const ChangeRequest& request) {
  out = json{{"base_version", request.base_version},
             {"change_id", request.change_id},
             {"document", request.document},
             {"repeated", request.repeated}};
}

void from_json(const json& in, ChangeRequest& request) {
  in.at("base_version").get_to(request.base_version);
  in.at("change_id").get_to(request.change_id);
  in.at("document").get_to(request.document);
  request.repeated = in.value("repeated", false);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeAnswer, subtree, result, version, reason,
                                                errors, current)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HistoryRow, version, change_id, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HistoryList, subtree, versions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubtreeRow, subtree, version, change_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubtreeList, subtrees)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostSettingsRow, host, data_centre, state,
                                                heard_age, subtrees, version_sum)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SettingsStatus, host, store_reachable, subtrees,
                                                hosts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostRow, host, data_centre, incarnation, state,
                                                heard_age, units)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostList, hosts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetRow, target, rack, data_centre, standing,
                                                quarantined, capacity, committed, load, tasks,
                                                owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetList, targets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRow, job, team, kind, priority, count, waiting,
                                                assigned, finished, failed, cancelled, unplaceable,
                                                evictions, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobList, jobs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceRow, service, team, wanted, running, targets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceList, services)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DecisionRow, age, event, fields)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WhyAnswer, id, decisions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Summary, host, data_centre, ready, store_reachable,
                                                hosts_live, targets_live, services_running,
                                                batch_running, tasks_waiting, evictions,
                                                requests_answered, requests_not_run,
                                                requests_unknown, requests_waiting, latency_p50,
                                                latency_p99, settings_version_sum)

void to_json(json& out, const JobSpec& spec) {
  std::vector<std::string> racks;
  for (const RackId& rack : spec.only_in_racks) {
    racks.push_back(rack.str());
  }
  out = json{{"job", spec.job.str()},
             {"team", spec.team.str()},
             {"kind", NameOf(spec.kind)},
             {"service", spec.service.str()},
             {"work_class", spec.work_class.str()},
             {"priority", spec.priority},
             {"count", spec.count},
             {"cpu_millis", spec.declared.cpu_millis},
             {"memory_mib", spec.declared.memory_mib},
             {"accelerators", spec.declared.accelerators},
             {"expected_run", FormatDuration(spec.expected_run)},
             {"max_attempts", spec.max_attempts},
             {"max_per_rack", spec.max_per_rack},
             {"only_in_racks", racks}};
}

namespace internal {

// Deeper bodies than any of this file's are refused before they cost anything.
constexpr int kMaxDepth = 16;

std::optional<json> ParseBounded(const std::string& text, std::string* reason) {
  if (text.size() > kMaxOperatorBodyBytes) {
    *reason = "the body has " + std::to_string(text.size()) + " bytes; at most " +
              std::to_string(kMaxOperatorBodyBytes) + " are read";
    return std::nullopt;
  }
  bool too_deep = false;
  const auto callback = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  json parsed = json::parse(text, callback, false);
  if (parsed.is_discarded() || too_deep) {
    *reason = too_deep ? "the body is nested too deep" : "the body is not JSON";
    return std::nullopt;
  }
  return parsed;
}

template <class Body>
std::optional<Body> ReadBody(const json& parsed, std::string* reason) {
  try {
    return parsed.get<Body>();
  } catch (const json::exception& error) {
    *reason = error.what();
    return std::nullopt;
  }
}

template <>
std::optional<JobSpec> ReadBody(const json& parsed, std::string* reason) {
  // JSON's rows are written as a TOML document, so that one check serves both.
  std::string document;
  if (!parsed.is_object()) {
    *reason = "the body is not an object";
    return std::nullopt;
  }
  for (const auto& [key, value] : parsed.items()) {
    const bool left_out = value.is_string() && value.get_ref<const std::string&>().empty();
    if (!left_out) {
      document += json(key).dump() + " = " + value.dump() + "\n";
    }
  }
  std::vector<SettingsError> errors;
  auto spec = ParseJobDocument(document, "body", &errors);
  if (!spec) {
    *reason = errors.front().str();
  }
  return spec;
}

}  // namespace internal

template <class Body>
std::string EncodeBody(const Body& body) {
  // Text that is not UTF-8 is shown with a replacement sign rather than refused.
  return json(body).dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Body>
std::optional<Body> DecodeBody(const std::string& text, std::string* reason) {
  std::string ignored;
  std::string* const why = reason == nullptr ? &ignored : reason;
  const auto parsed = internal::ParseBounded(text, why);
  if (!parsed) {
    return std::nullopt;
  }
  return internal::ReadBody<Body>(*parsed, why);
}

#define PISTACHIO_OPERATOR_BODY(Body)                \
  template std::string EncodeBody(const Body& body); \
  template std::optional<Body> DecodeBody(const std::string& text, std::string* reason);

PISTACHIO_OPERATOR_BODY(ApiError)
PISTACHIO_OPERATOR_BODY(ActionAnswer)
PISTACHIO_OPERATOR_BODY(ChangeRequest)
PISTACHIO_OPERATOR_BODY(ChangeAnswer)
PISTACHIO_OPERATOR_BODY(SubtreeVersion)
PISTACHIO_OPERATOR_BODY(HistoryList)
PISTACHIO_OPERATOR_BODY(SubtreeList)
PISTACHIO_OPERATOR_BODY(SettingsStatus)
PISTACHIO_OPERATOR_BODY(HostList)
PISTACHIO_OPERATOR_BODY(TargetList)
PISTACHIO_OPERATOR_BODY(JobRow)
PISTACHIO_OPERATOR_BODY(JobList)
PISTACHIO_OPERATOR_BODY(ServiceList)
PISTACHIO_OPERATOR_BODY(WhyAnswer)
PISTACHIO_OPERATOR_BODY(Summary)
PISTACHIO_OPERATOR_BODY(JobSpec)

#undef PISTACHIO_OPERATOR_BODY

}  // namespace pistachio

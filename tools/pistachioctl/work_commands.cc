#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <iostream>

#include "pistachio/version.h"
#include "tools/pistachioctl/commands.h"

namespace pistachio {

namespace internal {

constexpr long kHttpOk = 200;  // NOLINT(google-runtime-int): libcurl's type
constexpr std::chrono::milliseconds kTopEvery{1000};

using Rows = std::vector<std::vector<std::string>>;

/// \brief Gets a list and prints it: as it came, or as rows.
template <class Body, class ToRows>
ExitCode PrintList(const Session& session, const std::string& path,
                   const std::vector<std::string>& heading, ToRows to_rows) {
  const HttpAnswer answer = session.Call("GET", path);
  const bool good = answer.reach == HttpAnswer::Reach::kAnswered && answer.status == kHttpOk;
  const auto body = good ? DecodeBody<Body>(answer.body) : std::nullopt;
  if (!body) {
    return ReportFailure(answer, false);
  }
  if (session.json()) {
    std::cout << answer.body << "\n";
  } else {
    PrintTable(heading, to_rows(*body));
  }
  return ExitCode::kDone;
}

/// \brief Asks for a change of a job or target and says what became of it.
ExitCode Act(const Session& session, const std::string& method, const std::string& path,
             const std::string& body) {
  const HttpAnswer answer = session.Call(method, path, body);
  const auto result = answer.reach == HttpAnswer::Reach::kAnswered
                          ? DecodeBody<ActionAnswer>(answer.body)
                          : std::nullopt;
  if (!result || result->subject.empty()) {
    return ReportFailure(answer, true);
  }
  if (session.json()) {
    std::cout << answer.body << "\n";
  } else {
    std::cout << result->subject << ": " << NameOf(result->result) << "\n";
  }
  if (result->result == ChangeResult::kAccepted) {
    return ExitCode::kDone;
  }
  const bool rejected = result->result == ChangeResult::kRejected;
  PrintError(result->reason, rejected ? "see `pistachioctl settings explain` for the limits"
                                      : "run the same command again; it takes effect at most once");
  return rejected ? ExitCode::kRefused : ExitCode::kUnknownOutcome;
}

ExitCode SubmitJob(const Session& session, const std::string& file) {
  const auto text = ReadInput(file);
  if (!text) {
    return ExitCode::kUsage;
  }
  std::vector<SettingsError> errors;
  const auto spec = ParseJobDocument(*text, file, &errors);
  if (!spec) {
    for (const SettingsError& error : errors) {
      std::cerr << error.str() << "\n";
    }
    return ExitCode::kRefused;
  }
  return Act(session, "POST", "/v1/jobs", EncodeBody(*spec));
}

std::vector<std::string> RowOf(const JobRow& row) {
  return {row.job,
          row.team,
          row.kind,
          std::to_string(row.priority),
          std::to_string(row.count),
          std::to_string(row.waiting),
          std::to_string(row.assigned),
          std::to_string(row.finished),
          std::to_string(row.failed),
          std::to_string(row.cancelled),
          std::to_string(row.unplaceable),
          std::to_string(row.evictions),
          row.reason};
}

const std::vector<std::string> kJobHeading = {
    "JOB",      "TEAM",   "KIND",      "PRIORITY",    "TASKS",     "WAITING", "ASSIGNED",
    "FINISHED", "FAILED", "CANCELLED", "UNPLACEABLE", "EVICTIONS", "REASON"};

std::string JoinWith(const std::vector<std::string>& parts, const char* separator) {
  return fmt::format("{}", fmt::join(parts, separator));
}

std::optional<ExitCode> RunJob(const Session& session, const Words& words) {
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "submit" && words.size() == 2) {
    return SubmitJob(session, words[1]);
  }
  if (verb == "cancel" && words.size() == 2) {
    return Act(session, "DELETE", "/v1/jobs/" + EscapePath(words[1]), "");
  }
  if (verb == "status" && words.size() == 2) {
    return PrintList<JobRow>(session, "/v1/jobs/" + EscapePath(words[1]), kJobHeading,
                             [](const JobRow& row) { return Rows{RowOf(row)}; });
  }
  if (verb == "list" && words.size() == 1) {
    return PrintList<JobList>(session, "/v1/jobs", kJobHeading, [](const JobList& list) {
      Rows rows;
      for (const JobRow& row : list.jobs) {
        rows.push_back(RowOf(row));
      }
      return rows;
    });
  }
  return std::nullopt;
}

ExitCode ListServices(const Session& session) {
  return PrintList<ServiceList>(
      session, "/v1/services", {"SERVICE", "TEAM", "WANTED", "RUNNING", "TARGETS"},
      [](const ServiceList& list) {
        Rows rows;
        for (const ServiceRow& row : list.services) {
          rows.push_back({row.service, row.team, std::to_string(row.wanted),
                          std::to_string(row.running), JoinWith(row.targets, " ")});
        }
        return rows;
      });
}

ExitCode ListTargets(const Session& session) {
  return PrintList<TargetList>(
      session, "/v1/targets",
      {"TARGET", "RACK", "DATA CENTRE", "STANDING", "CAPACITY", "COMMITTED", "LOAD", "TASKS",
       "OWNER"},
      [](const TargetList& list) {
        Rows rows;
        for (const TargetRow& row : list.targets) {
          rows.push_back({row.target, row.rack, row.data_centre,
                          row.quarantined ? row.standing + ",quarantined" : row.standing,
                          row.capacity.str(), row.committed.str(), fmt::format("{:.2f}", row.load),
                          std::to_string(row.tasks), row.owner});
        }
        return rows;
      });
}

std::optional<ExitCode> RunTarget(const Session& session, const Words& words) {
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "list" && words.size() == 1) {
    return ListTargets(session);
  }
  const bool acts = verb == "drain" || verb == "undrain" || verb == "quarantine";
  if (acts && words.size() == 2) {
    return Act(session, "POST", "/v1/targets/" + EscapePath(words[1]) + "/" + verb, "");
  }
  return std::nullopt;
}

ExitCode ListHosts(const Session& session) {
  return PrintList<HostList>(
      session, "/v1/hosts", {"HOST", "DATA CENTRE", "STATE", "HEARD", "INCARNATION", "UNITS"},
      [](const HostList& list) {
        Rows rows;
        for (const HostRow& row : list.hosts) {
          rows.push_back({row.host, row.data_centre, row.state,
                          row.heard_age ? FormatDuration(*row.heard_age) : "never", row.incarnation,
                          JoinWith(row.units, " ")});
        }
        return rows;
      });
}

ExitCode Why(const Session& session, const std::string& id) {
  return PrintList<WhyAnswer>(
      session, "/v1/why/" + EscapePath(id), {"AGO", "DECISION", "FIELDS"},
      [](const WhyAnswer& answer) {
        Rows rows;
        for (const DecisionRow& row : answer.decisions) {
          std::vector<std::string> fields;
          for (const auto& [name, value] : row.fields) {
            fields.push_back(fmt::format("{}={}", name, value));
          }
          rows.push_back({FormatDuration(row.age), row.event, JoinWith(fields, " ")});
        }
        return rows;
      });
}

Rows RowsOf(const Summary& summary) {
  const auto count = [](std::uint64_t value) { return std::to_string(value); };
  return {{"host", summary.host + " in " + summary.data_centre},
          {"ready", summary.ready ? "yes" : "NO"},
          {"key-value service", summary.store_reachable ? "reachable" : "NOT reachable"},
          {"hosts live", count(summary.hosts_live)},
          {"targets live", count(summary.targets_live)},
          {"services running", count(summary.services_running)},
          {"batch tasks running", count(summary.batch_running)},
          {"tasks waiting", count(summary.tasks_waiting)},
          {"evictions", count(summary.evictions)},
          {"requests answered", count(summary.requests_answered)},
          {"requests not run", count(summary.requests_not_run)},
          {"requests unknown", count(summary.requests_unknown)},
          {"requests waiting", count(summary.requests_waiting)},
          {"latency p50", FormatDuration(summary.latency_p50)},
          {"latency p99", FormatDuration(summary.latency_p99)},
          {"settings, sum of versions", count(summary.settings_version_sum)}};
}

/// \brief Waits for a key up to \a span. \returns true if one was pressed.
bool KeyPressed(std::chrono::milliseconds span) {
  // Without a terminal there are no keys; the end of an input must not count as one.
  const nfds_t inputs = isatty(STDIN_FILENO) == 1 ? 1 : 0;
  pollfd input{STDIN_FILENO, POLLIN, 0};
  return poll(&input, inputs, static_cast<int>(span.count())) > 0;
}

ExitCode Top(const Session& session, std::uint32_t rounds) {
  const bool terminal = isatty(STDOUT_FILENO) == 1;
  for (std::uint32_t round = 1;; round++) {
    if (terminal && !session.json()) {
      std::cout << "\033[H\033[2J";
    }
    const ExitCode code = PrintList<Summary>(session, "/v1/summary", {"WHAT", "NOW"}, RowsOf);
    std::cout.flush();
    if (code != ExitCode::kDone || round == rounds || KeyPressed(kTopEvery)) {
      return code;
    }
  }
}

}  // namespace internal

std::optional<ExitCode> RunWork(const Session& session, const Words& words,
                                const CommandOptions& options) {
  const std::string noun = words.empty() ? "" : words[0];
  const Words rest(words.begin() + (words.empty() ? 0 : 1), words.end());
  const bool lists = rest.size() == 1 && rest[0] == "list";
  if (noun == "job") {
    return internal::RunJob(session, rest);
  }
  if (noun == "target") {
    return internal::RunTarget(session, rest);
  }
  if (noun == "service" && lists) {
    return internal::ListServices(session);
  }
  if (noun == "host" && lists) {
    return internal::ListHosts(session);
  }
  if (noun == "why" && rest.size() == 1) {
    return internal::Why(session, rest[0]);
  }
  if (noun == "top" && rest.empty()) {
    return internal::Top(session, options.rounds);
  }
  return std::nullopt;
}

}  // namespace pistachio

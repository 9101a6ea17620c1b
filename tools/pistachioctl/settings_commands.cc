#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "pistachio/process/runtime/random.h"
#include "pistachio/version.h"
#include "tools/pistachioctl/commands.h"

namespace pistachio {

namespace internal {

constexpr long kHttpOk = 200;        // NOLINT(google-runtime-int): libcurl's type
constexpr long kHttpNotFound = 404;  // NOLINT(google-runtime-int): libcurl's type
constexpr int kTries = 3;

std::string PathOfSubtree(const std::string& subtree) {
  return "/v1/settings/" + EscapePath(subtree);
}

template <class Body>
std::optional<Body> Fetch(const Session& session, const std::string& path, ExitCode* code) {
  const HttpAnswer answer = session.Call("GET", path);
  if (answer.reach != HttpAnswer::Reach::kAnswered || answer.status != kHttpOk) {
    *code = ReportFailure(answer, false);
    return std::nullopt;
  }
  std::string reason;
  auto body = DecodeBody<Body>(answer.body, &reason);
  if (!body) {
    PrintError("the daemon's answer cannot be read: " + reason,
               "check that daemon and tool are of one version");
    *code = ExitCode::kUnreachable;
    return std::nullopt;
  }
  if (session.json()) {
    std::cout << answer.body << "\n";
  }
  return body;
}

void PrintErrors(const std::vector<SettingsError>& errors) {
  for (const SettingsError& error : errors) {
    std::cerr << error.str() << "\n";
  }
}

/// \brief Newest version of a subtree without printing. \returns version 0 if there is none.
std::optional<SubtreeVersion> ReadNewest(const Session& session, const std::string& subtree,
                                         ExitCode* code) {
  const HttpAnswer answer = session.Call("GET", PathOfSubtree(subtree));
  const bool answered = answer.reach == HttpAnswer::Reach::kAnswered;
  if (answered && answer.status == kHttpNotFound) {
    return SubtreeVersion{subtree, 0, "", ""};
  }
  auto version =
      answered && answer.status == kHttpOk ? DecodeBody<SubtreeVersion>(answer.body) : std::nullopt;
  if (!version) {
    *code = ReportFailure(answer, false);
  }
  return version;
}

/// \brief Loads what a check needs: the root for a team, every team for the root.
bool LoadHierarchy(const Session& session, const std::string& subtree, Hierarchy* hierarchy,
                   ExitCode* code) {
  std::vector<std::string> wanted = {kRootSubtree};
  if (subtree == kRootSubtree) {
    const HttpAnswer answer = session.Call("GET", "/v1/settings");
    const auto list = DecodeBody<SubtreeList>(answer.body);
    if (answer.status != kHttpOk || !list) {
      *code = ReportFailure(answer, false);
      return false;
    }
    for (const SubtreeRow& row : list->subtrees) {
      wanted.push_back(row.subtree);
    }
  }
  for (const std::string& name : wanted) {
    const auto version = ReadNewest(session, name, code);
    if (!version) {
      return false;
    }
    hierarchy->Put(*version);
  }
  return true;
}

std::vector<SettingsError> CheckText(const Hierarchy& hierarchy, const std::string& subtree,
                                     const std::string& text, const std::string& file) {
  std::vector<SettingsError> errors;
  if (subtree == NameOf(DocumentKind::kDaemon)) {
    ParseDaemonSettings(text, file, &errors);
  } else if (subtree == NameOf(DocumentKind::kJob)) {
    ParseJobDocument(text, file, &errors);
  } else {
    errors = hierarchy.Check(subtree, text, file);
  }
  return errors;
}

ExitCode Check(const Session& session, const std::string& subtree, const std::string& file) {
  const auto text = ReadInput(file);
  if (!text) {
    return ExitCode::kUsage;
  }
  Hierarchy hierarchy;
  ExitCode code = ExitCode::kDone;
  if (session.has_server() && !LoadHierarchy(session, subtree, &hierarchy, &code)) {
    return code;
  }
  const std::vector<SettingsError> errors = CheckText(hierarchy, subtree, *text, file);
  if (!errors.empty()) {
    PrintErrors(errors);
    return ExitCode::kRefused;
  }
  std::cout << file << ": sound"
            << (session.has_server() ? "" : ", checked without the hierarchy (no --server)")
            << "\n";
  return ExitCode::kDone;
}

ExitCode Diff(const Session& session, const std::string& subtree, const std::string& file) {
  const auto text = ReadInput(file);
  if (!text) {
    return ExitCode::kUsage;
  }
  ExitCode code = ExitCode::kDone;
  const auto newest = ReadNewest(session, subtree, &code);
  if (!newest) {
    return code;
  }
  std::cout << "--- " << subtree << " version " << newest->version << "\n+++ " << file << "\n";
  for (const std::string& line : DiffLines(newest->document, *text)) {
    std::cout << line << "\n";
  }
  return ExitCode::kDone;
}

ExitCode PrintChange(const Session& session, const ChangeAnswer& answer,
                     const ChangeRequest& request) {
  if (session.json()) {
    std::cout << EncodeBody(answer) << "\n";
  } else {
    std::cout << answer.subtree << ": " << NameOf(answer.result);
    std::cout << (answer.version == 0 ? "" : fmt::format(" as version {}", answer.version)) << "\n";
  }
  if (answer.result == ChangeResult::kAccepted) {
    return ExitCode::kDone;
  }
  PrintErrors(answer.errors);
  const bool conflict = answer.current && answer.errors.empty();
  if (conflict && !session.json()) {
    std::cerr << fmt::format("--- version {} by {}\n+++ yours, {}\n", answer.current->version,
                             answer.current->change_id, request.change_id);
    for (const std::string& line : DiffLines(answer.current->document, request.document)) {
      std::cerr << line << "\n";
    }
  }
  if (answer.result == ChangeResult::kRejected) {
    PrintError(answer.reason, "mend the document, or take the newest version as the base");
    return ExitCode::kRefused;
  }
  PrintError(answer.reason, fmt::format("run it again with --change_id={} --base_version={}",
                                        request.change_id, request.base_version));
  return ExitCode::kUnknownOutcome;
}

ExitCode SendChange(const Session& session, const std::string& subtree, ChangeRequest request) {
  // Known before the call, so that a lost answer can be asked for.
  std::cerr << "change id " << request.change_id << ", base version " << request.base_version
            << "\n";
  const std::string path = PathOfSubtree(subtree);
  HttpAnswer answer;
  std::optional<ChangeAnswer> change;
  for (int i = 0; i < kTries; i++) {
    answer = session.Call("PUT", path, EncodeBody(request));
    const bool answered = answer.reach == HttpAnswer::Reach::kAnswered;
    change = answered ? DecodeBody<ChangeAnswer>(answer.body) : std::nullopt;
    const bool is_change = change && !change->subtree.empty();
    if (is_change && change->result != ChangeResult::kUnknown) {
      return PrintChange(session, *change, request);
    }
    if (!is_change && answer.reach != HttpAnswer::Reach::kMaybe) {
      break;
    }
    request.repeated = true;
    std::cerr << (i + 1 < kTries ? "no certain answer yet; asking again\n" : "");
  }
  if (change && !change->subtree.empty()) {
    return PrintChange(session, *change, request);
  }
  const bool uncertain = request.repeated || answer.reach == HttpAnswer::Reach::kMaybe;
  if (!uncertain) {
    return ReportFailure(answer, true);
  }
  PrintError("no certain answer came, and this or an earlier try may have taken effect" +
                 (answer.failure.empty() ? "" : ": " + answer.failure),
             fmt::format("run it again with --change_id={} --base_version={}", request.change_id,
                         request.base_version));
  return ExitCode::kUnknownOutcome;
}

ExitCode ApplyText(const Session& session, const std::string& subtree, const std::string& document,
                   const CommandOptions& options) {
  // What is not TOML, or not UTF-8, would not reach the daemon as it was written.
  std::vector<SettingsError> errors;
  const bool is_root = subtree == kRootSubtree;
  if (!ReadDocument(is_root ? DocumentKind::kRoot : DocumentKind::kTeam, document, subtree,
                    &errors)) {
    PrintErrors(errors);
    return ExitCode::kRefused;
  }
  ChangeRequest request;
  request.document = document;
  request.repeated = !options.change_id.empty();
  request.change_id = request.repeated ? options.change_id : fmt::format("{:016x}", RandomToken());
  if (request.repeated && !options.base_version) {
    PrintError("--change_id needs --base_version", "the first try printed both");
    return ExitCode::kUsage;
  }
  if (options.base_version) {
    request.base_version = *options.base_version;
  } else {
    ExitCode code = ExitCode::kDone;
    const auto newest = ReadNewest(session, subtree, &code);
    if (!newest) {
      return code;
    }
    request.base_version = newest->version;
  }
  return SendChange(session, subtree, std::move(request));
}

ExitCode Revert(const Session& session, const std::string& subtree, const std::string& version,
                const CommandOptions& options) {
  const HttpAnswer answer =
      session.Call("GET", PathOfSubtree(subtree) + "?version=" + EscapePath(version));
  const auto old = DecodeBody<SubtreeVersion>(answer.body);
  if (answer.reach != HttpAnswer::Reach::kAnswered || answer.status != kHttpOk || !old) {
    return ReportFailure(answer, false);
  }
  return ApplyText(session, subtree, old->document, options);
}

ExitCode Get(const Session& session, const std::string& subtree, const std::string& version) {
  ExitCode code = ExitCode::kDone;
  const std::string query = version.empty() ? "" : "?version=" + EscapePath(version);
  const auto found = Fetch<SubtreeVersion>(session, PathOfSubtree(subtree) + query, &code);
  if (found && !session.json()) {
    std::cerr << fmt::format("# {} version {} by {}\n", found->subtree, found->version,
                             found->change_id);
    std::cout << found->document;
  }
  return code;
}

ExitCode History(const Session& session, const std::string& subtree) {
  ExitCode code = ExitCode::kDone;
  const auto list = Fetch<HistoryList>(session, PathOfSubtree(subtree) + "/history", &code);
  if (list && !session.json()) {
    std::vector<std::vector<std::string>> rows;
    for (const HistoryRow& row : list->versions) {
      rows.push_back({std::to_string(row.version), row.change_id, std::to_string(row.bytes)});
    }
    PrintTable({"VERSION", "CHANGE", "BYTES"}, rows);
  }
  return code;
}

ExitCode Status(const Session& session) {
  ExitCode code = ExitCode::kDone;
  const auto status = Fetch<SettingsStatus>(session, "/v1/settings/status", &code);
  if (!status || session.json()) {
    return code;
  }
  std::vector<std::vector<std::string>> subtrees;
  for (const SubtreeRow& row : status->subtrees) {
    subtrees.push_back({row.subtree, std::to_string(row.version), row.change_id});
  }
  PrintTable({"SUBTREE", "VERSION", "CHANGE"}, subtrees);
  std::cout << "\nin force at " << status->host << "; the key-value service is "
            << (status->store_reachable ? "reachable" : "NOT reachable: newer changes may exist")
            << "\n\n";
  std::vector<std::vector<std::string>> hosts;
  for (const HostSettingsRow& row : status->hosts) {
    hosts.push_back({row.host, row.data_centre, row.state,
                     row.heard_age ? FormatDuration(*row.heard_age) : "never"});
  }
  PrintTable({"HOST", "DATA CENTRE", "SETTINGS", "HEARD"}, hosts);
  return code;
}

ExitCode Explain(const std::string& key, bool page) {
  const std::string text = page ? RenderSettingsPage() : ExplainKey(key);
  if (text.empty()) {
    PrintError("no document has the key \"" + key + "\"", "see docs/SETTINGS.md for all keys");
    return ExitCode::kRefused;
  }
  std::cout << text;
  return ExitCode::kDone;
}

}  // namespace internal

std::optional<std::string> ReadInput(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  // One byte more than a document may have tells that it is too large.
  std::string text(kMaxDocumentBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || (!in.eof() && in.gcount() == 0)) {
    PrintError(file + " cannot be read", "check the path");
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

std::vector<std::string> DiffLines(const std::string& from, const std::string& to) {
  const auto split = [](const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  };
  const std::vector<std::string> a = split(from);
  const std::vector<std::string> b = split(to);
  std::size_t head = 0;
  while (head < a.size() && head < b.size() && a[head] == b[head]) {
    head++;
  }
  std::size_t tail = 0;
  while (tail < a.size() - head && tail < b.size() - head &&
         a[a.size() - 1 - tail] == b[b.size() - 1 - tail]) {
    tail++;
  }
  std::vector<std::string> lines;
  for (std::size_t i = head; i < a.size() - tail; i++) {
    lines.push_back(fmt::format("- {}", a[i]));
  }
  for (std::size_t i = head; i < b.size() - tail; i++) {
    lines.push_back(fmt::format("+ {}", b[i]));
  }
  return lines;
}

std::optional<ExitCode> RunSettings(const Session& session, const Words& words,
                                    const CommandOptions& options) {
  const std::string verb = words.empty() ? "" : words[0];
  const std::size_t given = words.empty() ? 0 : words.size() - 1;
  if (verb == "check" && given == 2) {
    return internal::Check(session, words[1], words[2]);
  }
  if (verb == "diff" && given == 2) {
    return internal::Diff(session, words[1], words[2]);
  }
  if (verb == "apply" && given == 2) {
    const auto text = ReadInput(words[2]);
    return text ? internal::ApplyText(session, words[1], *text, options) : ExitCode::kUsage;
  }
  if (verb == "revert-to" && given == 2) {
    return internal::Revert(session, words[1], words[2], options);
  }
  if (verb == "get" && (given == 1 || given == 2)) {
    return internal::Get(session, words[1], given == 2 ? words[2] : "");
  }
  if (verb == "history" && given == 1) {
    return internal::History(session, words[1]);
  }
  if (verb == "status" && given == 0) {
    return internal::Status(session);
  }
  if (verb == "explain" && (given == 1 || (given == 0 && options.page))) {
    return internal::Explain(given == 1 ? words[1] : "", options.page);
  }
  return std::nullopt;
}

}  // namespace pistachio

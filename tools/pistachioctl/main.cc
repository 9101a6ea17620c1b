#include <curl/curl.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <optional>

#include "tools/pistachioctl/commands.h"

DEFINE_string(server, "", "operators' port of any entry host, host:port");
DEFINE_string(token_file, "", "file whose first line is the operator's token");
DEFINE_bool(json, false, "print the answer as JSON");
DEFINE_int64(base_version, -1, "settings apply, revert-to: version that the change replaces");
DEFINE_string(change_id, "", "settings apply, revert-to: id of an earlier try, to ask again");
DEFINE_bool(page, false, "settings explain: print docs/SETTINGS.md");
DEFINE_uint32(rounds, 0, "top: refreshes until it ends; 0 goes on until a key is pressed");
DECLARE_bool(help);
DECLARE_bool(version);

namespace pistachio::internal {

constexpr const char* kHelp = R"(pistachioctl: operators' tool of pistachiostall

  pistachioctl [flags] settings check SUBTREE FILE      check a document; SUBTREE may be daemon or job
  pistachioctl [flags] settings diff SUBTREE FILE       compare with the newest version
  pistachioctl [flags] settings apply SUBTREE FILE      make it the next version
  pistachioctl [flags] settings get SUBTREE [VERSION]   print a version
  pistachioctl [flags] settings history SUBTREE         list the versions that are kept
  pistachioctl [flags] settings status                  which hosts have which versions
  pistachioctl [flags] settings revert-to SUBTREE N     make version N's text the next version
  pistachioctl settings explain KEY                     type, range, default and limit of a key
  pistachioctl [flags] job submit FILE | status JOB | cancel JOB | list
  pistachioctl [flags] service list
  pistachioctl [flags] target list | drain T | undrain T | quarantine T
  pistachioctl [flags] host list
  pistachioctl [flags] why ID                           decisions about a task or request
  pistachioctl [flags] top                              live view of one host
  pistachioctl completion bash                          completion for the shell

flags
  --server=HOST:PORT     operators' port of any entry host
  --token_file=FILE      file whose first line is the operator's token
  --json                 print the answer as JSON
  --base_version=N       apply, revert-to: version that the change replaces; the newest if left out
  --change_id=ID         apply, revert-to: id of an earlier try, to ask what became of it
  --page                 settings explain: print docs/SETTINGS.md
  --rounds=N             top: refreshes until it ends
  --help, --version

exit codes
  0 done   1 refused   2 wrong usage   3 unreachable, nothing changed
  4 outcome unknown: run the same command again, with the id that it printed
)";

constexpr const char* kCompletion = R"(_pistachioctl() {
  local words="settings job service target host why top completion"
  case "${COMP_WORDS[COMP_CWORD-1]}" in
    settings) words="check diff apply get history status revert-to explain" ;;
    job) words="submit status cancel list" ;;
    target) words="list drain undrain quarantine" ;;
    service|host) words="list" ;;
    completion) words="bash" ;;
  esac
  case "${COMP_WORDS[COMP_CWORD]}" in
    -*) words="--server= --token_file= --json --base_version= --change_id= --page --rounds= --help --version" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _pistachioctl pistachioctl
)";

/// \brief Sets one flag. gflags' own reading of the line ends the process with the code for a
/// refusal where the usage is wrong, so flags are set one by one.
bool SetFlag(const std::string& name, const std::string& value) {
  return !gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty();
}

/// \brief Reads `--name=value`, `--name value` and `--switch`; everything else is a word.
/// \returns nothing, with the error printed, if a flag is not known or its value does not fit
std::optional<Words> ReadLine(const Words& arguments) {
  Words words;
  for (std::size_t i = 0; i < arguments.size(); i++) {
    const std::string& argument = arguments[i];
    if (argument.compare(0, 2, "--") != 0) {
      words.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
    std::string value = "true";
    if (equals != std::string::npos) {
      value = argument.substr(equals + 1);
    } else if (known && info.type != "bool" && i + 1 < arguments.size()) {
      value = arguments[++i];
    }
    if (!known || !SetFlag(name, value)) {
      PrintError((known ? "wrong value for --" : "no such flag: --") + name,
                 "see pistachioctl --help");
      return std::nullopt;
    }
  }
  return words;
}

ExitCode RefuseUsage(const Words& words) {
  std::string command;
  for (const std::string& word : words) {
    command += command.empty() ? "" : " ";
    command += word;
  }
  PrintError(words.empty() ? "no command" : "no such command: " + command,
             "see pistachioctl --help");
  return ExitCode::kUsage;
}

bool NeedsServer(const Words& words) {
  const bool local =
      words.size() > 1 && words[0] == "settings" && (words[1] == "check" || words[1] == "explain");
  return !local;
}

ExitCode Run(const Words& words) {
  if (words == Words{"completion", "bash"}) {
    std::cout << kCompletion;
    return ExitCode::kDone;
  }
  if (words.empty()) {
    return RefuseUsage(words);
  }
  Session session(FLAGS_server, FLAGS_json);
  if (!FLAGS_token_file.empty() && !session.ReadToken(FLAGS_token_file)) {
    PrintError("no token in " + FLAGS_token_file, "name a file whose first line is the token");
    return ExitCode::kUsage;
  }
  if (NeedsServer(words) && !session.has_server()) {
    PrintError("no --server given", "name the operators' port of an entry host, host:port");
    return ExitCode::kUsage;
  }
  CommandOptions options;
  if (FLAGS_base_version >= 0) {
    options.base_version = static_cast<std::uint64_t>(FLAGS_base_version);
  }
  options.change_id = FLAGS_change_id;
  options.page = FLAGS_page;
  options.rounds = FLAGS_rounds;
  const auto code = words[0] == "settings"
                        ? RunSettings(session, Words(words.begin() + 1, words.end()), options)
                        : RunWork(session, words, options);
  return code ? *code : RefuseUsage(words);
}

}  // namespace pistachio::internal

int main(int argc, char** argv) {
  const auto words =
      pistachio::internal::ReadLine(pistachio::Words(argv + std::min(argc, 1), argv + argc));
  if (!words) {
    return static_cast<int>(pistachio::ExitCode::kUsage);
  }
  if (FLAGS_help) {
    std::cout << pistachio::internal::kHelp;
    return 0;
  }
  if (FLAGS_version) {
    std::cout << "pistachioctl " << PISTACHIO_VERSION << "\n";
    return 0;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto code = static_cast<int>(pistachio::internal::Run(*words));
  curl_global_cleanup();
  return code;
}

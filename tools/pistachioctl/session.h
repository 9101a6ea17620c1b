#pragma once

#include <string>
#include <vector>

namespace pistachio {

/// \brief Exit codes that scripts rely on; docs/operators-api.md lists them.
enum class ExitCode : int {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,
  kUnknownOutcome = 4,
};

/// \brief How a call to the daemon ended.
struct HttpAnswer {
  enum class Reach {
    kAnswered,  ///< status and body are the daemon's
    kNotSent,   ///< no connection; the daemon did not see the call
    kMaybe,     ///< sent, but no whole answer came
  };
  Reach reach = Reach::kNotSent;
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::string body;
  std::string failure;  ///< why there is no answer
};

/// \brief One operator's connection to one daemon.
///
/// The token is read from a file and goes only into the request's header: never into arguments,
/// messages or logs.
class Session {
 public:
  /// \param server `host:port`
  /// \param json print bodies as they come
  Session(std::string server, bool json) : server(std::move(server)), json_output(json) {}

  /// \brief Reads the token. \returns false if the file cannot be read.
  bool ReadToken(const std::string& file);

  /// \brief Calls the daemon. Cost: bounded by a time limit on the whole call.
  /// \param method `GET`, `PUT`, `POST` or `DELETE`
  HttpAnswer Call(const std::string& method, const std::string& path,
                  const std::string& body = "") const;

  bool json() const { return this->json_output; }
  bool has_server() const { return !this->server.empty(); }

 private:
  std::string server;
  std::string token;
  bool json_output;
};

/// \returns \a text with every byte escaped that has a meaning in a path.
std::string EscapePath(const std::string& text);

/// \brief Prints cause and next step on standard error.
void PrintError(const std::string& cause, const std::string& next_step);

/// \brief Prints why a call was not answered with 200. \param changes true if it asks for a change
/// \returns the exit code that fits
ExitCode ReportFailure(const HttpAnswer& answer, bool changes);

/// \brief Prints rows under a heading, columns lined up.
void PrintTable(const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows);

}  // namespace pistachio

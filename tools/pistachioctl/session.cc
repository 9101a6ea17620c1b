#include "tools/pistachioctl/session.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>

#include "pistachio/version/operator_api.h"

namespace pistachio {

namespace internal {

constexpr long kConnectMillis = 3000;   // NOLINT(google-runtime-int): libcurl's type
constexpr long kCallMillis = 20'000;    // NOLINT(google-runtime-int): libcurl's type
constexpr long kHttpUnavailable = 503;  // NOLINT(google-runtime-int): libcurl's type

std::size_t TakeBytes(char* data, std::size_t size, std::size_t count, void* body) {
  auto* const text = static_cast<std::string*>(body);
  if (text->size() + size * count > kMaxOperatorBodyBytes) {
    return 0;  // makes libcurl give the call up
  }
  text->append(data, size * count);
  return size * count;
}

/// \returns true if libcurl gave up before a byte of the request was sent.
bool NothingSent(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

HeaderList MakeHeaders(const std::string& token) {
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  if (!token.empty()) {
    headers = curl_slist_append(headers, ("Authorization: Bearer " + token).c_str());
  }
  return {headers, &curl_slist_free_all};
}

}  // namespace internal

bool Session::ReadToken(const std::string& file) {
  std::ifstream in(file);
  return static_cast<bool>(std::getline(in, this->token)) && !this->token.empty();
}

HttpAnswer Session::Call(const std::string& method, const std::string& path,
                         const std::string& body) const {
  HttpAnswer answer;
  const internal::EasyHandle handle(curl_easy_init(), &curl_easy_cleanup);
  const internal::HeaderList headers = internal::MakeHeaders(this->token);
  const std::string url = "http://" + this->server + path;
  CURL* const curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, internal::kConnectMillis);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, internal::kCallMillis);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &internal::TakeBytes);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
  if (!body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code == CURLE_OK) {
    answer.reach = HttpAnswer::Reach::kAnswered;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
  }
  answer.failure = curl_easy_strerror(code);
  answer.reach =
      internal::NothingSent(code) ? HttpAnswer::Reach::kNotSent : HttpAnswer::Reach::kMaybe;
  return answer;
}

std::string EscapePath(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '_' || c == '.' || c == '~';
    escaped +=
        plain ? std::string(1, c)
              : fmt::format("%{:02X}", static_cast<unsigned int>(static_cast<unsigned char>(c)));
  }
  return escaped;
}

void PrintError(const std::string& cause, const std::string& next_step) {
  std::cerr << "pistachioctl: " << cause << "\n";
  if (!next_step.empty()) {
    std::cerr << "  next: " << next_step << "\n";
  }
}

ExitCode ReportFailure(const HttpAnswer& answer, bool changes) {
  if (answer.reach == HttpAnswer::Reach::kNotSent) {
    PrintError("the daemon cannot be reached: " + answer.failure,
               "check --server, or name another entry host; nothing was changed");
    return ExitCode::kUnreachable;
  }
  if (answer.reach == HttpAnswer::Reach::kMaybe) {
    PrintError("no whole answer came: " + answer.failure,
               changes ? "run the same command again; it takes effect at most once"
                       : "try again, or name another entry host with --server");
    return changes ? ExitCode::kUnknownOutcome : ExitCode::kUnreachable;
  }
  const auto error = DecodeBody<ApiError>(answer.body);
  const bool told = error && !error->reason.empty();
  PrintError(told ? error->reason : fmt::format("the daemon answered {}", answer.status),
             told ? error->next_step : "see the daemon's log");
  return answer.status == internal::kHttpUnavailable ? ExitCode::kUnreachable : ExitCode::kRefused;
}

void PrintTable(const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  widths.reserve(heading.size());
  for (const std::string& title : heading) {
    widths.push_back(title.size());
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); i++) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print = [&widths](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size() && i < widths.size(); i++) {
      line += fmt::format("{:<{}}", row[i], widths[i] + 2);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << "\n";
  };
  print(heading);
  for (const auto& row : rows) {
    print(row);
  }
}

}  // namespace pistachio

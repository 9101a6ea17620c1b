#include "pistachio/version/daemon_settings.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

const char* const kWhole = R"(host = "host-a1"
data_centre = "waikato"
[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
operators = "[::1]:7003"
[platform]
store_url = "http://127.0.0.1:9000"
host_list_url = "http://127.0.0.1:9001"
[[peers]]
host = "host-a1"
address = "127.0.0.1:7002"
[[peers]]
host = "host-a2"
address = "127.0.0.1:7102"
[[peers]]
host = "host-b1"
data_centre = "manawatu"
address = "127.0.0.1:7202"
[lease]
renew_every = "2s"
)";

std::vector<SettingsError> ErrorsOf(const std::string& text) {
  std::vector<SettingsError> errors;
  REQUIRE_FALSE(ParseDaemonSettings(text, "host.toml", &errors).has_value());
  REQUIRE_FALSE(errors.empty());
  return errors;
}

std::string Replace(const std::string& old_part, const std::string& new_part) {
  std::string text = kWhole;
  const std::size_t at = text.find(old_part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, old_part.size(), new_part);
}

TEST_CASE("a whole daemon document is read, defaults filled in and peers sorted by data centre",
          "[version]") {
  std::vector<SettingsError> errors;
  const auto settings = ParseDaemonSettings(kWhole, "host.toml", &errors);
  REQUIRE(settings.has_value());
  REQUIRE(settings->host == HostId("host-a1"));
  REQUIRE(settings->operators_address == "[::1]:7003");
  REQUIRE(settings->peers.size() == 1);
  REQUIRE(settings->peers[0].data_centre == DataCentreId("waikato"));
  REQUIRE(settings->remote_peers.size() == 1);
  REQUIRE(settings->lease.renew_every == std::chrono::seconds(2));
  REQUIRE(settings->lease.term == std::chrono::seconds(9));
  REQUIRE(settings->max_body_bytes == 1048576);
}

TEST_CASE("an unknown key names file, line, key and the keys that are known there", "[version]") {
  const auto errors = ErrorsOf(Replace("renew_every", "renew_evry"));
  REQUIRE(errors[0].file == "host.toml");
  REQUIRE(errors[0].line == 21);
  REQUIRE(errors[0].key == "lease.renew_evry");
  REQUIRE(errors[0].allowed_range.find("renew_every") != std::string::npos);
}

TEST_CASE("a wrong type and a value out of range name the allowed range", "[version]") {
  const auto wrong_type = ErrorsOf(Replace("\"2s\"", "2"));
  REQUIRE(wrong_type[0].key == "lease.renew_every");
  REQUIRE(wrong_type[0].allowed_range == "100ms to 5m");
  const auto too_long = ErrorsOf(Replace("\"2s\"", "\"6m\""));
  REQUIRE(too_long[0].str() ==
          "host.toml:21: lease.renew_every: 6m is out of range (allowed: 100ms to 5m)");
  const auto address = ErrorsOf(Replace("127.0.0.1:7102", "localhost:7102"));
  REQUIRE(address[0].key == "peers[1].address");
}

TEST_CASE("a missing key and a missing table are named", "[version]") {
  const auto errors = ErrorsOf("host = \"a\"\n");
  std::vector<std::string> keys;
  keys.reserve(errors.size());
  for (const SettingsError& error : errors) {
    keys.push_back(error.key);
  }
  REQUIRE(keys == std::vector<std::string>{"data_centre", "listen.callers", "listen.peers",
                                           "listen.operators", "platform.store_url",
                                           "platform.host_list_url"});
}

TEST_CASE("lease times that do not fit each other are refused", "[version]") {
  REQUIRE(ErrorsOf(Replace("\"2s\"", "\"5s\""))[0].key == "lease.renew_every");
  REQUIRE(ErrorsOf(std::string(kWhole) + "drift_margin = \"3s\"\n")[0].key == "lease.drift_margin");
  REQUIRE(ErrorsOf(std::string(kWhole) + "store_timeout = \"9s\"\n")[0].key ==
          "lease.store_timeout");
}

TEST_CASE("two roles at one address and a host listed twice are refused", "[version]") {
  REQUIRE(ErrorsOf(Replace("\"[::1]:7003\"", "\"127.0.0.1:7001\""))[0].key == "listen.operators");
  REQUIRE(ErrorsOf(Replace("host = \"host-b1\"", "host = \"host-a2\""))[0].key == "peers[2].host");
}

}  // namespace
}  // namespace pistachio

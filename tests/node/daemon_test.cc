#include "pistachio/process/node/daemon.h"

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standin/platform_standin.h"

namespace pistachio {
namespace {

/// Number of calls after which a wait fails. A call takes almost a millisecond, and what the test
/// waits for takes a few seconds.
constexpr int kMaxCalls = 100000;

/// Runs a daemon and a simulated platform, all on ports that the kernel assigns.
class DaemonFixture {
 public:
  DaemonFixture() {
    REQUIRE(this->standin.Start());
    std::string reason;
    const auto settings = platform::DecodeSettings(
        this->standin.HostSettingsText(ListenAddress{}, ListenAddress{}, ListenAddress{}), &reason);
    REQUIRE(settings);
    this->daemon = std::make_unique<Daemon>(*settings, platform::MakeCodec());
    REQUIRE(this->daemon->Start());
  }

  HttpResult Call(const std::string& method, const std::string& path, const std::string& body) {
    HttpCall call;
    call.method = method;
    call.url = "http://" + this->daemon->addresses().callers.str() + path;
    call.headers = {{"Host", "demo.example"}};
    call.body = body;
    return this->client.SendAndWait(call);
  }

  /// Repeats a GET until the body of the answer contains \a text. Returns false if it never does.
  bool WaitForText(const std::string& path, const std::string& text) {
    for (int i = 0; i < kMaxCalls; ++i) {
      if (this->Call("GET", path, "").body.find(text) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  /// Repeats a POST until the host accepts it. Returns the last status.
  int SubmitUntilAccepted(const std::string& path, const std::string& body) {
    int status = 0;
    for (int i = 0; i < kMaxCalls && status != 200; ++i) {
      status = this->Call("POST", path, body).status;
    }
    return status;
  }

 private:
  standin::PlatformStandin standin{{}};
  std::unique_ptr<Daemon> daemon;
  HttpClient client;
};

TEST_CASE("a submission over HTTP runs to completion", "[daemon]") {
  DaemonFixture fixture;
  REQUIRE(fixture.WaitForText("/demo/", "pending"));
  const std::string path = "/demo/0123456789abcdef";
  REQUIRE(fixture.Call("GET", path, "").status == 410);
  REQUIRE(fixture.Call("GET", "/other/", "").status == 404);
  REQUIRE(fixture.Call("POST", path, "no json").status == 400);
  const std::string body =
      R"({"spec":"x","steps":[{"count":3,"cpu":500,"memMb":256,"estimateMs":300}]})";
  // The host accepts submissions only after a cell layout is written, which takes until the set of
  // targets has stayed unchanged for a while.
  REQUIRE(fixture.SubmitUntilAccepted(path, body) == 200);
  REQUIRE(fixture.Call("POST", path, body).status == 200);
  REQUIRE(fixture.WaitForText(path, "completed"));
  REQUIRE(fixture.Call("DELETE", path, "").status == 200);
}

}  // namespace
}  // namespace pistachio

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <thread>

#include "pistachio/connection/http.h"
#include "platform/store_wire.h"
#include "platform/target_wire.h"

namespace pistachio::platform {
namespace {

// A write that was carried out was repeated unnoticed; the answer to the repetition, that nothing
// was done, was taken for that to the write. A repeated order may reach the target's next
// incarnation.
TEST_CASE("writes and orders are sent at most once", "[calls]") {
  const auto send_once = [](const StoreCall& call) {
    return EncodeStoreCall("127.0.0.1:1", call, std::chrono::seconds(1)).send_once;
  };
  CHECK(send_once(Transaction{}));
  CHECK_FALSE(send_once(ReadKey{"key"}));
  CHECK_FALSE(send_once(WatchPrefix{}));
  for (const decltype(Order::order)& order : std::initializer_list<decltype(Order::order)>{
           StartOrder{}, StopOrder{}, HoldOrder{}, PaceOrder{}}) {
    CHECK(EncodeOrder(Order{TargetId("target"), "127.0.0.1:1", order, std::chrono::seconds(1)}, 7)
              .send_once);
  }
}

/// A target that answers its first request, closes the connection at the second one after it has
/// carried it out, and has no room for further ones.
class OverloadedTarget {
 public:
  OverloadedTarget() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    listen(this->listener, 4);
    socklen_t length = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    this->thread = std::thread([this] { this->Run(); });
  }
  ~OverloadedTarget() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  std::string address;

 private:
  /// \returns false if the connection has ended.
  static bool ReadRequest(int connection) {
    char buffer[4096];
    return read(connection, buffer, sizeof(buffer)) > 0;
  }
  static void Answer(int connection, const std::string& status) {
    const std::string answer = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}";
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  }
  void Run() {
    const int first = accept(this->listener, nullptr, nullptr);
    if (ReadRequest(first)) {
      Answer(first, "200 OK");
    }
    ReadRequest(first);
    close(first);
    for (int next = 0; (next = accept(this->listener, nullptr, nullptr)) >= 0; close(next)) {
      if (ReadRequest(next)) {
        Answer(next, "503 Service Unavailable");
      }
    }
  }

  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::thread thread;
};

// The task was started on another target while the first run was at work.
TEST_CASE("a start that was carried out is not called refused by its repetition", "[calls]") {
  OverloadedTarget target;
  HttpClient client;
  const auto status_of = [&](const decltype(Order::order)& order) {
    // Long enough for a process that does not run for some seconds.
    const HttpCall call =
        EncodeOrder(Order{TargetId("target"), target.address, order, std::chrono::minutes(1)}, 7);
    return DecodeOrderReply(client.SendAndWait(call)).status;
  };
  REQUIRE(status_of(StopOrder{}) == OrderStatus::kDone);
  REQUIRE(status_of(StartOrder{}) == OrderStatus::kNoAnswer);
  REQUIRE(status_of(StartOrder{}) == OrderStatus::kUnhealthy);
}

}  // namespace
}  // namespace pistachio::platform

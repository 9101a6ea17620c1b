#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "pistachio/connection/http.h"

namespace pistachio {
namespace {

/// Server that stops answering on the connections that are open when Silence() is called, and
/// neither closes nor resets them, as a network that drops their packets.
class SilencedServer {
 public:
  SilencedServer() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    constexpr int kBacklog = 64;
    listen(this->listener, kBacklog);
    socklen_t length = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~SilencedServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(this->port) + "/"; }
  /// From now on, requests are answered when \a count of them have arrived, so that the client
  /// needs as many connections.
  void AnswerInGroupsOf(std::size_t count) { this->group_size = count; }
  void Silence() { this->silenced_connections = this->accepted.load(); }
  /// \returns the number of connections so far.
  std::size_t connections() const { return this->accepted; }
  /// \returns the number of requests on silenced connections.
  int unanswered() const { return this->requests_without_answer; }

 private:
  void Run() {
    std::vector<pollfd> sockets = {{this->listener, POLLIN, 0}};
    while (poll(sockets.data(), sockets.size(), -1) > 0) {
      // Connections are served in the order in which they were opened, so that a request on a
      // silenced connection is counted before a later one on a new connection is answered.
      for (std::size_t i = 1; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0 && !this->Serve(i - 1, sockets[i].fd)) {
          close(sockets[i].fd);
          sockets[i].fd = -1;
        }
      }
      if (sockets[0].revents != 0) {
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection < 0) {
          break;
        }
        sockets.push_back({connection, POLLIN, 0});
        ++this->accepted;
      }
    }
    for (std::size_t i = 1; i < sockets.size(); ++i) {
      if (sockets[i].fd >= 0) {
        close(sockets[i].fd);
      }
    }
  }

  /// \returns true if the connection stays open.
  bool Serve(std::size_t number, int connection) {
    char buffer[4096];
    if (read(connection, buffer, sizeof(buffer)) <= 0) {
      return false;
    }
    if (number < this->silenced_connections) {
      ++this->requests_without_answer;
      return true;
    }
    this->waiting.push_back(connection);
    if (this->waiting.size() >= this->group_size) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      for (const int waiting_connection : this->waiting) {
        send(waiting_connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      this->waiting.clear();
    }
    return true;
  }

  int listener = -1;
  std::uint16_t port = 0;
  std::atomic<std::size_t> group_size{1};
  std::atomic<std::size_t> accepted{0};
  std::atomic<std::size_t> silenced_connections{0};
  std::atomic<int> requests_without_answer{0};
  std::vector<int> waiting;  ///< connections with a request that is not answered yet
  std::thread thread;
};

/// Call that is to be answered, however busy the machine is.
HttpCall PatientCall(const SilencedServer& server) {
  HttpCall call;
  call.url = server.url();
  call.timeout = std::chrono::minutes(1);
  return call;
}

/// Call that soon fails on a silent connection.
HttpCall ShortCall(const SilencedServer& server) {
  HttpCall call = PatientCall(server);
  call.timeout = std::chrono::milliseconds(500);
  return call;
}

/// Sends \a count calls at the same time, which the server answers together.
/// \returns the number of answers.
std::size_t SendTogether(HttpClient& client, SilencedServer& server, std::size_t count) {
  server.AnswerInGroupsOf(count);
  std::vector<std::future<bool>> answered;
  for (std::size_t i = 0; i < count; ++i) {
    auto promise = std::make_shared<std::promise<bool>>();
    answered.push_back(promise->get_future());
    client.Send(PatientCall(server),
                [promise](const HttpResult& result) { promise->set_value(result.answered()); });
  }
  std::size_t answers = 0;
  for (std::future<bool>& answer : answered) {
    answers += answer.get() ? 1 : 0;
  }
  server.AnswerInGroupsOf(1);
  return answers;
}

// With idle connections that are all silent, each of the following calls lasted for its timeout.
TEST_CASE("one call fails when all idle connections to a server are silent", "[http]") {
  const std::size_t idle = GENERATE(2, 6, 16);
  SilencedServer server;
  HttpClient client;
  REQUIRE(SendTogether(client, server, idle) == idle);
  REQUIRE(server.connections() == idle);
  server.Silence();
  for (std::size_t calls = 0; calls <= idle; ++calls) {
    if (client.SendAndWait(ShortCall(server)).answered()) {
      break;
    }
  }
  REQUIRE(client.SendAndWait(PatientCall(server)).answered());
  REQUIRE(server.unanswered() == 1);
}

TEST_CASE("after silent connections a client opens as many as its calls need", "[http]") {
  constexpr std::size_t kLimit = 4;
  SilencedServer server;
  HttpClient client(kLimit);
  REQUIRE(SendTogether(client, server, kLimit) == kLimit);
  server.Silence();
  REQUIRE_FALSE(client.SendAndWait(ShortCall(server)).answered());
  for (int calls = 0; calls < 3; ++calls) {
    REQUIRE(client.SendAndWait(PatientCall(server)).answered());
  }
  REQUIRE(server.connections() == kLimit + 1);
  REQUIRE(SendTogether(client, server, kLimit) == kLimit);
  REQUIRE(SendTogether(client, server, kLimit) == kLimit);
  REQUIRE(server.connections() == 2 * kLimit);
  REQUIRE(server.unanswered() == 1);
}

TEST_CASE("silent connections to one server leave those to another in use", "[http]") {
  SilencedServer silent;
  SilencedServer other;
  HttpClient client;
  REQUIRE(SendTogether(client, silent, 2) == 2);
  REQUIRE(SendTogether(client, other, 2) == 2);
  silent.Silence();
  REQUIRE_FALSE(client.SendAndWait(ShortCall(silent)).answered());
  REQUIRE(SendTogether(client, other, 2) == 2);
  REQUIRE(other.connections() == 2);
}

}  // namespace
}  // namespace pistachio

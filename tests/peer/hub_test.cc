#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "pistachio/connection/peer.h"

namespace pistachio {
namespace {

/// What a hub received and which links it has, waited for by the test.
class Inbox {
 public:
  PeerHub::Receiver receiver() {
    return [this](const HostId& from, const std::string& bytes) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->messages.emplace_back(from, bytes);
      this->changed.notify_all();
    };
  }
  PeerHub::LinkObserver observer() {
    return [this](const HostId& /*peer*/, bool open) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->open_links += open ? 1 : -1;
      this->changed.notify_all();
    };
  }
  void WaitForLinks(int count) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->open_links == count; });
  }
  std::pair<HostId, std::string> WaitForMessage(std::size_t place) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [&] { return this->messages.size() > place; });
    return this->messages.at(place);
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::pair<HostId, std::string>> messages;
  int open_links = 0;
};

PeerHubConfig ConfigOf(const std::string& self, const std::string& secret) {
  PeerHubConfig config;
  config.self = HostId(self);
  config.listen_ip = "127.0.0.1";
  config.secret = secret;
  config.reconnect_every = std::chrono::milliseconds(10);
  return config;
}

TEST_CASE("messages arrive in order with the sender's name", "[hub]") {
  Inbox inbox_a;
  Inbox inbox_b;
  PeerHub b(ConfigOf("b", "secret"), inbox_b.receiver(), inbox_b.observer());
  const auto port = b.Start();
  REQUIRE(port);
  PeerHubConfig config = ConfigOf("a", "secret");
  config.peers[HostId("b")] = "127.0.0.1:" + std::to_string(*port);
  PeerHub a(config, inbox_a.receiver(), inbox_a.observer());
  REQUIRE(a.Start());
  inbox_a.WaitForLinks(1);
  const std::string binary("\x00\x01\xff", 3);
  REQUIRE_FALSE(a.Send(HostId("b"), binary));
  REQUIRE_FALSE(a.Send(HostId("b"), "second"));
  REQUIRE(inbox_b.WaitForMessage(0) == std::make_pair(HostId("a"), binary));
  REQUIRE(inbox_b.WaitForMessage(1).second == "second");
  REQUIRE(a.Send(HostId("c"), "x") == PeerSendError::kUnknownPeer);
}

TEST_CASE("a peer that restarts on its port is connected to again", "[hub]") {
  Inbox inbox_a;
  Inbox first;
  auto b = std::make_unique<PeerHub>(ConfigOf("b", "s"), first.receiver(), first.observer());
  const auto port = b->Start();
  PeerHubConfig config = ConfigOf("a", "s");
  config.peers[HostId("b")] = "127.0.0.1:" + std::to_string(*port);
  PeerHub a(config, inbox_a.receiver(), inbox_a.observer());
  a.Start();
  inbox_a.WaitForLinks(1);
  b.reset();
  inbox_a.WaitForLinks(0);
  REQUIRE(a.Send(HostId("b"), "lost") == PeerSendError::kNotConnected);
  Inbox second;
  PeerHubConfig again = ConfigOf("b", "s");
  again.listen_port = *port;
  PeerHub restarted(again, second.receiver(), second.observer());
  REQUIRE(restarted.Start());
  inbox_a.WaitForLinks(1);
  REQUIRE_FALSE(a.Send(HostId("b"), "after"));
  REQUIRE(second.WaitForMessage(0).second == "after");
}

TEST_CASE("a host with another secret is refused", "[hub]") {
  Inbox inbox_a;
  Inbox inbox_b;
  PeerHub b(ConfigOf("b", "right"), inbox_b.receiver(), inbox_b.observer());
  const auto port = b.Start();
  PeerHubConfig config = ConfigOf("a", "wrong");
  config.peers[HostId("b")] = "127.0.0.1:" + std::to_string(*port);
  PeerHub a(config, inbox_a.receiver(), inbox_a.observer());
  a.Start();
  while (b.traffic().refused == 0) {
    std::this_thread::yield();
  }
  REQUIRE(a.Send(HostId("b"), "x") == PeerSendError::kNotConnected);
  REQUIRE(b.traffic().received_messages == 0);
}

}  // namespace
}  // namespace pistachio

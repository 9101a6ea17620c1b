#include <catch2/catch.hpp>
#include <deque>

#include "pistachio/connection/store.h"
#include "pistachio/process/daemon.h"
#include "tests/standins/target_model.h"

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);

/// A data centre of entry hosts on one paused clock, with one store and targets in one rack.
class Centre {
 public:
  explicit Centre(const std::vector<std::string>& names) {
    for (int i = 0; i < 2; ++i) {
      TargetListing listing;
      listing.target = TargetId("t" + std::to_string(i));
      listing.rack = RackId("r1");
      listing.data_centre = DataCentreId("waikato");
      listing.address = listing.target.str();
      listing.capacity = Resources{8000, 8192, 0};
      listing.slots = 8;
      this->hosts_list.targets.push_back(listing);
      this->models.emplace(listing.target, standins::TargetModel(listing, 1));
    }
    for (const std::string& name : names) {
      this->hosts_list.entry_hosts.emplace_back(HostId(name), DataCentreId("waikato"));
    }
    for (const std::string& name : names) {
      this->Add(HostId(name));
    }
  }

  void Run(Duration length) {
    const TimePoint end = this->clock.Now() + length;
    while (this->clock.Now() < end) {
      this->clock.Advance(kStep);
      for (auto& [name, host] : this->hosts) {
        this->Post(name, ControlTick{});
        this->Post(name, PlatformHostsFetched{this->hosts_list});
      }
      this->Deliver();
    }
  }

  void Call(const std::string& host, const std::string& method, const std::string& path,
            const std::string& body) {
    OperatorCalled call{this->next_call++, method, path, body};
    call.file_subtree = "*";
    this->Post(HostId(host), call);
    this->Deliver();
  }

  void Kill(const std::string& host) { this->hosts.erase(HostId(host)); }
  void Stop(const std::string& host) { this->Post(HostId(host), StopRequested{}); }
  void SetStoreFault(StoreFault fault) { this->fault = fault; }
  void WriteStore(const std::string& key, const std::string& value) {
    this->store.Call(CompareAndSwapCall{key, 0, value});
  }
  bool HasLeft(const std::string& host) const { return this->left.count(HostId(host)) != 0; }
  std::size_t OwnedBy(const std::string& host) {
    return this->hosts.at(HostId(host)).owned_units();
  }

  int Finished(const std::string& job) {
    int finished = 0;
    for (const auto& [id, model] : this->models) {
      for (const standins::RunInterval& run : model.intervals()) {
        const bool ended = run.ended && run.state == TargetTaskState::kFinished;
        finished += ended && run.task.job.str() == job ? 1 : 0;
      }
    }
    return finished;
  }

  std::vector<std::pair<int, std::string>> answers;

 private:
  void Add(const HostId& name) {
    ControlConfig config;
    config.data_centre = DataCentreId("waikato");
    config.self = MemberId{name, ++this->incarnations};
    for (const auto& [other, centre] : this->hosts_list.entry_hosts) {
      if (other != name) {
        config.peers.push_back(other);
      }
    }
    this->hosts.emplace(std::piecewise_construct, std::forward_as_tuple(name),
                        std::forward_as_tuple(config, this->PortsOf(name), this->clock.Now()));
  }

  ControlPorts PortsOf(const HostId& name) {
    ControlPorts ports;
    ports.call_store = [this, name](const StoreOrigin& origin, std::uint64_t call, StoreRole,
                                    const StoreCall& store_call) {
      this->Post(name, StoreCallAnswered{origin, call, this->store.Call(store_call, this->fault)});
    };
    ports.send_peer = [this, name](const HostId& to, const ControlMessage& message) {
      this->Post(to, PeerMessageArrived{name, message});
    };
    ports.send_command = [this, name](const OutgoingCommand& command) {
      auto& model = this->models.at(TargetId(command.address));
      const CommandAnswer answer = model.Handle(command.epoch, command.command, this->clock.Now());
      this->Post(name, CommandFinished{command.unit, command.epoch, command.command_id, answer});
    };
    ports.publish_routes = [](const auto&, const auto&, const auto&) {};
    ports.answer_operator = [this](std::uint64_t, int status, const std::string& body) {
      this->answers.emplace_back(status, body);
    };
    ports.report = [](const EventRecord&) {};
    ports.new_incarnation = [this] { return ++this->incarnations; };
    ports.left = [this, name] { this->left.insert(name); };
    return ports;
  }

  void Post(const HostId& name, ControlEvent event) {
    this->queue.emplace_back(name, std::move(event));
  }

  void Deliver() {
    while (!this->queue.empty()) {
      const auto [name, event] = std::move(this->queue.front());
      this->queue.pop_front();
      const auto host = this->hosts.find(name);
      if (host != this->hosts.end()) {
        host->second.Handle(event, this->clock.Now());
      }
    }
  }

  ManualClock clock;
  FakeStore store;
  StoreFault fault = StoreFault::kNone;
  PlatformHosts hosts_list;
  std::map<TargetId, standins::TargetModel> models;
  std::deque<std::pair<HostId, ControlEvent>> queue;
  std::uint64_t incarnations = 0;
  std::uint64_t next_call = 1;
  std::set<HostId> left;
  std::map<HostId, ControlState> hosts;
};

std::string TeamDocument() {
  return EncodeBody(ChangeRequest{0, "change-1", "[quota]\ncpu_millis = 8000\n"});
}

std::string JobBody(int tasks) {
  JobSpec spec;
  spec.job = JobId("nightly");
  spec.team = TeamId("ashgrove");
  spec.work_class = WorkClass("nightly");
  spec.priority = 100;
  spec.count = static_cast<std::uint32_t>(tasks);
  spec.declared = Resources{1000, 512, 0};
  spec.expected_run = std::chrono::seconds(5);
  return EncodeBody(spec);
}

/// Lets the hosts join, applies a team's settings and submits a job of that many tasks.
void Submit(Centre& centre, int tasks) {
  centre.Run(std::chrono::seconds(10));
  centre.Call("a", "PUT", "/v1/settings/ashgrove", TeamDocument());
  centre.Run(std::chrono::seconds(5));
  centre.Call("a", "POST", "/v1/jobs", JobBody(tasks));
  centre.Run(std::chrono::seconds(2));
}

TEST_CASE("a job runs each task once on two hosts", "[control]") {
  Centre centre({"a", "b"});
  Submit(centre, 20);
  REQUIRE(centre.answers.size() == 2);
  CHECK(centre.answers.at(0).first == 200);
  CHECK(centre.answers.at(1).first == 200);
  centre.Run(std::chrono::minutes(2));
  REQUIRE(centre.Finished("nightly") == 20);
}

TEST_CASE("a host that dies loses no task and none runs twice", "[control]") {
  Centre centre({"a", "b"});
  Submit(centre, 20);
  centre.Kill("b");
  centre.Run(std::chrono::minutes(4));
  REQUIRE(centre.Finished("nightly") == 20);
  centre.Call("a", "GET", "/v1/jobs/nightly", "");
  centre.Run(std::chrono::seconds(5));
  REQUIRE(DecodeBody<JobRow>(centre.answers.back().second)->finished == 20);
  REQUIRE(centre.OwnedBy("a") == 3);
}

TEST_CASE("a host that stops hands over every unit inside its own tick and leaves", "[control]") {
  Centre centre({"a", "b"});
  Submit(centre, 20);
  centre.Stop("b");
  centre.Run(std::chrono::seconds(15));
  REQUIRE(centre.HasLeft("b"));
  REQUIRE(centre.OwnedBy("b") == 0);
  centre.Run(std::chrono::minutes(2));
  REQUIRE(centre.Finished("nightly") == 20);
}

TEST_CASE("tasks that were assigned go on while the store is away", "[control]") {
  // The team's quota lets eight tasks run at once, so all of them are assigned before the outage.
  constexpr int kTasks = 8;
  Centre centre({"a", "b"});
  Submit(centre, kTasks);
  centre.Run(std::chrono::seconds(2));
  centre.SetStoreFault(StoreFault::kDown);
  centre.Run(std::chrono::minutes(1));
  REQUIRE(centre.Finished("nightly") == kTasks);
  centre.SetStoreFault(StoreFault::kNone);
  centre.Run(std::chrono::minutes(1));
  REQUIRE(centre.Finished("nightly") == kTasks);
}

TEST_CASE("a job of the same name from another data centre is refused", "[control]") {
  Centre centre({"a", "b"});
  centre.WriteStore("job-home/nightly", "hawkes");
  Submit(centre, 3);
  REQUIRE(centre.answers.size() == 2);
  CHECK(centre.answers.at(1).first == 409);
  centre.Run(std::chrono::minutes(1));
  REQUIRE(centre.Finished("nightly") == 0);
}

TEST_CASE("a job of an unknown team is refused", "[control]") {
  Centre centre({"a", "b"});
  centre.Run(std::chrono::seconds(10));
  centre.Call("a", "POST", "/v1/jobs", JobBody(1));
  centre.Run(std::chrono::seconds(5));
  REQUIRE(centre.answers.at(0).first == 409);
}

}  // namespace
}  // namespace pistachio

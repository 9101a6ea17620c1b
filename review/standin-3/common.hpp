// What the cases share: a small deployment with three nodes, its workers and a client.
#pragma once

#include "lab.hpp"

namespace lab {

struct Setup {
  Deployment deployment;
  std::unique_ptr<World> world;
  std::mt19937_64 random;
  std::string host = "nony24.example";
  int version = 1;
  Json routes = Json::array();
  std::function<std::string(int)> rack_of = [](int worker) { return "r1-" + std::to_string(worker / 2); };

  Setup(const std::string& program, const std::string& directory, std::uint64_t seed)
      : deployment(program, directory), random(seed) {
    this->world = std::make_unique<World>(&this->deployment.store);
  }
  ~Setup() {
    this->deployment.StopAll();
    this->world.reset();
  }
  void AddRoute(const std::string& name, const std::string& prefix, int priority, int attempts) {
    this->routes.push_back(Route(name, this->host, prefix, this->world->service, priority, attempts));
  }
  void PutConfig() {
    this->deployment.store.Put("op/config", ConfigText(this->version++, this->world->service, this->routes));
  }
  /// Starts the store, the workers, then the nodes. \returns false if the nodes don't get ready.
  bool Begin(int nodes, int workers) {
    for (int i = 0; i < nodes; ++i) {
      this->deployment.AddNode(this->deployment.zones[static_cast<std::size_t>(i) % 3]);
    }
    this->deployment.WriteSettings();
    this->PutConfig();
    for (int i = 0; i < workers; ++i) {
      const std::string zone = this->deployment.zones[static_cast<std::size_t>(i) % 3];
      this->world->Boot(this->world->Add("w" + std::to_string(i), zone, this->rack_of(i)), true);
    }
    for (int i = 0; i < nodes; ++i) {
      this->deployment.Start(i);
    }
    if (!this->deployment.WaitReady(15000)) {
      Rec().Line("the nodes don't get ready");
      return false;
    }
    // Until an owner has the cell and has reached the workers.
    const std::int64_t until = NowMs() + 10000;
    while (this->deployment.Owner() < 0 && NowMs() < until) {
      Sleep(50);
    }
    Sleep(1500);
    return true;
  }
  Job& NewJob(const std::string& prefix, const Json& body, int attempts) {
    const std::lock_guard<std::recursive_mutex> lock(this->world->mutex);
    const std::string id = RandomDigits(this->random);
    Job& job = this->world->jobs[id];
    job.id = id;
    job.prefix = prefix;
    job.host = this->host;
    job.body = body;
    job.max_attempts = attempts;
    return job;
  }
  int Send(const Job& job, const std::string& method, int node, std::string* state = nullptr) {
    const bool post = method == "POST";
    const Response r = Call(this->deployment.nodes[static_cast<std::size_t>(node)]->front, method, job.prefix + job.id, job.host,
                            post ? job.body.dump() : "", 3000);
    const Json answer = Json::parse(r.body, nullptr, false);
    if (state != nullptr) {
      *state = r.status == 200 && answer.is_object() ? answer.value("state", "") : "";
    }
    Rec().Line(method + " " + job.prefix + job.id + " at " + this->deployment.nodes[static_cast<std::size_t>(node)]->name + ": " +
               std::to_string(r.status) + " " + r.body.substr(0, 80));
    return r.status;
  }
  /// Hands a job in as a client does: it asks another node after no answer, 502 or 504.
  bool HandIn(Job* job, int first_node, int tries = 5) {
    for (int i = 0; i < tries; ++i) {
      const int status = this->Send(*job, "POST", (first_node + i) % static_cast<int>(this->deployment.nodes.size()));
      const std::lock_guard<std::recursive_mutex> lock(this->world->mutex);
      if (status / 100 == 2) {
        job->accepted = true;
        job->refused_only = false;
        job->accepted_at = NowMs();
        return true;
      }
      if (status != 429 && status != 503 && status != 404) {
        job->refused_only = false;
      } else {
        return false;
      }
      Sleep(100);
    }
    return false;
  }
};

/// Ends the processes and this program; threads of the stand-ins may still be at work.
[[noreturn]] inline void End(Setup* setup, int code);

inline int Result() {
  const std::vector<std::string> broken = Rec().Broken();
  for (const std::string& text : broken) {
    std::printf("broken: %s\n", text.c_str());
  }
  std::printf("%s\n", broken.empty() ? "held" : "a rule was broken");
  return broken.empty() ? 0 : 1;
}


[[noreturn]] inline void End(Setup* setup, int code) {
  setup->deployment.StopAll();
  Rec().Line("result " + std::to_string(code));
  std::fflush(stdout);
  _exit(code);
}

}  // namespace lab

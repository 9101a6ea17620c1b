#include "pistachio/process/daemon/control_loop.h"

namespace pistachio {

ControlLoop::ControlLoop(const ControlConfig& config, const ControlPorts& ports, const Clock& clock,
                         Duration tick_every)
    : clock(clock), tick_every(tick_every), state(config, ports, Now(clock)) {}

ControlLoop::~ControlLoop() { this->Stop(); }

void ControlLoop::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ControlLoop::Post(ControlEvent event) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->work.emplace_back(std::move(event));
  }
  this->wake.notify_one();
}

void ControlLoop::Read(std::function<void(const ControlState&)> read) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->work.emplace_back(std::move(read));
  }
  this->wake.notify_one();
}

void ControlLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_one();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

std::deque<ControlLoop::Work> ControlLoop::TakeWork() {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->wake.wait_for(lock, this->tick_every,
                      [this] { return this->stopping || !this->work.empty(); });
  std::deque<Work> taken;
  taken.swap(this->work);
  return taken;
}

void ControlLoop::Run() {
  TimePoint next_tick = Now(this->clock);
  while (true) {
    const std::deque<Work> taken = this->TakeWork();
    for (const Work& item : taken) {
      if (const auto* event = std::get_if<ControlEvent>(&item)) {
        this->state.Handle(*event, Now(this->clock));
      } else {
        std::get<std::function<void(const ControlState&)>>(item)(this->state);
      }
    }
    const TimePoint now = Now(this->clock);
    if (now >= next_tick) {
      next_tick = now + this->tick_every;
      this->state.Handle(ControlTick{}, now);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping) {
      return;
    }
  }
}

}  // namespace pistachio

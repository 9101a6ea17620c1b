#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

/// \brief Runs the control state on the one thread that may touch it.
class ControlLoop {
 public:
  /// \param tick_every time between ticks
  ControlLoop(const ControlConfig& config, const ControlPorts& ports, const Clock& clock,
              Duration tick_every);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();

  /// \brief Hands an event to the control thread. From any thread.
  void Post(ControlEvent event);

  /// \brief Runs \a read with the control state, on the control thread, soon.
  void Read(std::function<void(const ControlState&)> read);

  /// \brief Ends the thread after the event in hand. May be called twice.
  void Stop();

 private:
  using Work = std::variant<ControlEvent, std::function<void(const ControlState&)>>;

  void Run();
  std::deque<Work> TakeWork();

  Clock clock;
  Duration tick_every;
  ControlState state;
  std::mutex mutex;
  std::condition_variable wake;
  std::deque<Work> work;
  bool stopping = false;
  std::thread thread;
};

}  // namespace pistachio

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits of the decision which work is delayed.
struct DelaySettings {
  /// Whether the cost of delay decides at all; otherwise room never counts as scarce.
  bool enabled = true;
  /// Time since a step last found no target for which room counts as scarce.
  Duration scarce_for = std::chrono::milliseconds(1000);
  /// Share of its value that a submission earns between its objective and three times that.
  double late_share = 0.2;
  /// A submission is worth this, plus 0.7 times its work over the mean of its queue, ...
  double base_value = 0.3;
  double work_value = 0.7;
  /// ... and at most this.
  double max_value = 4.0;
  /// A size class is favoured while its share of submissions in time is below this part of that of
  /// its whole queue. Callers need half; the rest is the time until the rule shows its effect.
  double min_served_ratio = 0.9;
};

/// \brief Work that waits or runs, as far as the cost of its delay depends on it.
struct DelayedWork {
  std::int32_t priority = 0;  ///< priority of the queue; 0 is the highest
  bool long_running = false;  ///< see StepSpec::long_running
  WallTime due{0};  ///< end of the objective: the submission has its full value until then
  WallTime hard_deadline{0};  ///< from then on, completing the submission has no value
  /// Work that is waiting then has no value even if its tasks take as short, or as long, as they
  /// rarely do; `WallTime::max()` if that is not known.
  WallTime last_chance = WallTime::max();
  std::chrono::milliseconds remaining{0};  ///< critical path from here on
  double value = 1.0;                      ///< of the submission, if it is in time
  double core_seconds_left = 0.0;          ///< processor time that the submission still needs
  bool favoured = false;                   ///< see ServiceShares::IsFavoured()
  /// Chosen by ChooseInTime() to be completed in time.
  bool chosen = true;
};

/// \brief What a submission earns if its work goes on at once.
enum class Prospect {
  kInTime,     ///< its full value
  kLate,       ///< a small part of its value
  kWorthless,  ///< nothing
};

/// \returns the name of \a prospect in logs.
const char* NameOf(Prospect prospect);

/// \returns what the work earns if it goes on at \a now.
Prospect ProspectOf(const DelayedWork& work, WallTime now);

/// \returns true if the work certainly earns nothing, so that it must not take processors from any
///   other. Priority 0 and long-running work never is.
bool IsSetAside(const DelayedWork& work, WallTime now);

/// \returns the value that is lost if the work goes on only after \a delay.
double LossOfDelay(const DelayedWork& work, std::chrono::milliseconds delay, WallTime now,
                   const DelaySettings& settings);

/// \brief Chooses the work that is completed in time, as far as \a cores can do it all.
///
/// Load: a burst of 2.6 times the batch load beside urgent work, on full targets. An order alone
/// makes nearly everything a little late then: by due time, all work waits for that before it; by
/// size, work is started that is late anyway. This takes work by due time, and when one would be
/// late, gives up the one with the least value per core-second so far (the rule of Moore and
/// Hodgson). Priority 0 is always chosen, favoured work is given up last.
/// \param works `DelayedWork::chosen` is set in each
/// \param cores processors that work on them
void ChooseInTime(const std::vector<DelayedWork*>& works, double cores, WallTime now);

/// Place of work in the order; the lowest is delayed last.
using DelayRank = std::tuple<bool, std::int32_t, int, bool, double>;

/// \brief Computes the place of waiting work in the order, for all decisions on what is delayed.
///
/// 1. work that is not set aside
/// 2. lower `priority` numbers
/// 3. chosen work that can be in time; then long-running work; then work that is late or was not
///    chosen; last what is too late
/// 4. favoured work
/// 5. the earlier due time, and for late work the higher value per core-second
DelayRank RankOf(const DelayedWork& work, WallTime now);

/// \brief Waiting work of a cell by priority and value per core-second: what a new submission would
/// have to wait for.
class WaitingProfile {
 public:
  static constexpr std::size_t kPriorities = 4;  ///< the last holds all higher numbers
  static constexpr std::size_t kLevels = 8;      ///< of value per core-second, by factors of 4

  void Add(const DelayedWork& work, WallTime now);
  /// \returns the core-seconds that go before new work of this priority and value per core-second.
  double WorkBefore(std::int32_t priority, double value_per_core_second) const;
  /// \returns the core-seconds that new work of this priority and value would delay.
  double WorkDelayedBy(std::int32_t priority, double value_per_core_second) const;

 private:
  std::array<std::array<double, kLevels>, kPriorities> core_seconds{};
};

/// \brief Size of a submission among those of its queue.
enum class SizeClass : std::uint8_t {
  kUsual,    ///< below the two others
  kLarge,    ///< the fifth below the largest tenth
  kLargest,  ///< the largest tenth
};

/// \brief Tracks how often submissions of each size are served in time, by queue.
///
/// Value per core-second prefers small submissions. Without a bound, the large ones of a queue
/// would always be given up. At most 64 queues are tracked, with the last 100 submissions of each.
class ServiceShares {
 public:
  explicit ServiceShares(const DelaySettings& settings) : settings(settings) {}

  /// \brief Adds a submission with \a core_seconds of work to the sizes of its queue.
  void Observe(const QueueId& queue, double core_seconds);
  /// \brief Records once for each submission whether it was served in time.
  void RecordOutcome(const QueueId& queue, double core_seconds, bool in_time);

  SizeClass ClassOf(const QueueId& queue, double core_seconds) const;
  /// \returns what a submission with \a core_seconds of work is worth if it is in time.
  double ValueOf(const QueueId& queue, double core_seconds) const;
  /// \returns true if submissions of this size were served in time too rarely.
  bool IsFavoured(const QueueId& queue, double core_seconds) const;
  /// \returns the share of recent submissions of a class that were in time.
  double ServedShare(const QueueId& queue, SizeClass size) const;

 private:
  struct QueueShares {
    std::deque<double> recent;                    ///< work of the last submissions, core-seconds
    double mean = 0.0;                            ///< of `recent`
    double large = 0.0;                           ///< lower bound of `SizeClass::kLarge`
    double largest = 0.0;                         ///< lower bound of `SizeClass::kLargest`
    double all_served = 1.0;                      ///< share of recent submissions in time
    std::array<double, 3> served{1.0, 1.0, 1.0};  ///< the same, by `SizeClass`
  };

  SizeClass ClassIn(const QueueShares& queue, double core_seconds) const;

  DelaySettings settings;
  std::map<QueueId, QueueShares> queues;
};

}  // namespace pistachio

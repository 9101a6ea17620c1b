#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/process/scheduling/duration_factor.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits of the duration model.
struct DurationSettings {
  /// Whether decisions use learned durations; they are learned and stored in any case.
  bool enabled = true;
  /// Weight of ends of one image below which the declared estimate is used. A step of 20 tasks
  /// weighs 4.5, since all its tasks share the error of one estimate.
  double min_weight = 20.0;
  /// Weight of ends after which older ones are forgotten.
  double memory = 200.0;
  /// Logarithm of the ratio within which an estimate counts as exact. The end of a run may be
  /// reported 130 ms late (`CellSettings::uncommitted_poll_interval`), 16 % of a task of 0.8 s.
  double exact_band = 0.2;
  /// Deviations from the mean at which an end is clipped, so that the 3 % of tasks that take seven
  /// times as long don't move the mean.
  double clip = 2.0;
  /// Deviation before the first end.
  double initial_deviation = 0.5;
  /// Smallest deviation that ends are clipped by.
  double min_deviation = 0.05;
  /// Ratio to the usual time from which an end counts into the heavy tail.
  double tail_ratio = 4.0;
  /// Quantiles that are used as the shortest and the longest time, in deviations: 10 % of tasks
  /// take less and 10 % more.
  double quantile_deviations = 1.28;
};

/// \brief One end of a run, as the model learns from it.
struct DurationSample {
  Duration declared{0};     ///< estimate of the whole task
  Duration real{0};         ///< time that the whole task takes at full speed on a usual target
  std::uint32_t count = 1;  ///< tasks of the step, which share one declared estimate
};

/// \brief What is known of the real time of tasks, relative to their declared estimate.
struct LearnedDuration {
  /// Exact while too little is known. The deviation is that which `slope` leaves.
  DurationFactor factor;
  /// Growth of the logarithm of the ratio with that of the declared estimate, from -1 to 0. It is
  /// -1 if the declared estimates of the image tell nothing about the real time.
  double slope = 0.0;
  double mean_declared_log = 0.0;  ///< mean logarithm of the declared estimate, milliseconds
  double volume = 1.0;             ///< total real time of tasks over their total declared time
  double tail_share = 0;           ///< share of tasks that take several times the usual time
  bool learned = false;  ///< enough ends were seen; otherwise all other fields are the defaults

  /// \returns true if the declared estimate counts as exact, also because too little is known.
  bool exact() const {
    return this->factor.mean_log == 0.0 && this->factor.deviation_log == 0.0 && this->slope == 0.0;
  }
  /// \returns the usual time of a task with the declared estimate \a declared.
  Duration Usual(Duration declared) const;
  /// \returns the time that a task exceeds as rarely as a normal deviate exceeds \a deviations.
  Duration Quantile(Duration declared, double deviations) const;
};

/// \brief Learns from ends how long tasks of an image take, relative to their declared estimate.
///
/// Load: estimates that are wrong by a factor whose logarithm has a deviation of up to 0.9, and
/// 3 % of tasks that take seven times as long. The mean and the deviation of the logarithm are
/// updated with clipped errors and forget slowly. Long-running tasks never end and are left out.
/// If the errors of an image's estimates are larger than the differences between its tasks, most of
/// an estimate is noise; the learned slope of the ratio over the declared estimate corrects that.
///
/// At most 256 images are kept; the one whose last end is the oldest is dropped for a new one.
/// Tasks without an image are learned by queue and step.
class DurationModel {
 public:
  explicit DurationModel(const DurationSettings& settings) : settings(settings) {}

  /// \brief Learns from the end of one task. Samples without a positive time are ignored.
  void Learn(const QueueId& queue, std::uint32_t step, const ImageId& image,
             const DurationSample& sample);

  /// \returns what is known of the tasks of \a image, or of the step if it is empty.
  LearnedDuration Find(const QueueId& queue, std::uint32_t step, const ImageId& image) const;

  /// \returns what is known of all tasks together.
  LearnedDuration Overall() const { return this->Describe(this->overall); }

  /// \returns the number of images and steps that are kept.
  std::size_t size() const { return this->by_image.size() + this->by_step.size(); }

  /// \returns the state as CBOR bytes, at most 8 KB: those with the latest ends come first.
  std::string Encode() const;

  /// \brief Replaces the state by that of Encode().
  /// \returns false, and changes nothing, if \a bytes are malformed
  bool Decode(const std::string& bytes);

 private:
  struct Estimate {
    double mean = 0.0;          ///< of the logarithm of the ratio
    double variance = 0.0;      ///< of the logarithm of the ratio around `mean` and `slope`
    double slope = 0.0;         ///< see LearnedDuration
    double mean_x = 0.0;        ///< of the logarithm of the declared estimate, milliseconds
    double variance_x = 0.0;    ///< of the same
    double tail_share = 0.0;    ///< see LearnedDuration
    double real_ms = 0.0;       ///< mean real time
    double declared_ms = 0.0;   ///< mean declared estimate
    double weight = 0.0;        ///< of the ends learned from, at most `DurationSettings::memory`
    std::uint64_t updated = 0;  ///< number of the last end
  };
  using StepId = std::pair<QueueId, std::uint32_t>;

  /// \param with_slope also learns the slope
  void Update(Estimate* estimate, const DurationSample& sample, bool with_slope) const;
  LearnedDuration Describe(const Estimate& estimate) const;
  /// Drops the entry with the oldest last end if there are as many as may be kept.
  void MakeRoom();

  DurationSettings settings;
  std::map<ImageId, Estimate> by_image;
  std::map<StepId, Estimate> by_step;  ///< of tasks without an image
  Estimate overall;
  std::uint64_t ends = 0;  ///< number of the last end
};

}  // namespace pistachio

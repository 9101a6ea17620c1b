#pragma once

#include <map>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/tail_level.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Prior means and variances of the interference model. All values refer to natural
/// logarithms of a tail in milliseconds, or of a slowdown per core.
struct InterferenceSettings {
  double prior_log_slowdown = 0.12;  ///< slowdown that one core of an unknown image causes
  double image_variance = 0.05;      ///< variance of images around the prior
  double pair_variance = 0.15;       ///< variance of pairs of images around the aggressor's mean
  double baseline_variance = 0.5;    ///< variance of the tails of serving images that run alone
  /// Variance of the noise of one sample. Changes of the load alone move a tail by half.
  double sample_variance = 0.16;
  double drift_per_second = 0.002;  ///< growth of an estimate's variance without samples
  /// Variance of the noise of one sample of a task whose load is tracked, and the growth of the
  /// variance of that load. A swing of 14 s moves a tail by up to a third in a second.
  double tracked_sample_variance = 0.02;
  double load_drift_per_second = 0.06;
  /// Deviation of the log tail over time of an image without samples.
  double prior_level_deviation = 0.35;
  /// Number of samples that the prior deviation counts as.
  double prior_level_samples = 20.0;
  /// Number of samples after which older ones count less; some minutes of one task.
  double max_level_samples = 2000.0;
  /// Number of deviations from the mean to the peak. A sine peaks at 1.4 deviations; noise adds to
  /// that.
  double peak_deviations = 1.6;
};

/// \brief Index of an image in one model. Models use indices since they are cheap to compare.
using ImageIndex = std::size_t;

/// \brief Best-effort work of one image on the target of a serving task.
struct Aggressor {
  ImageIndex image = 0;
  double cores = 0.0;  ///< number of processors in use
};

/// \brief Estimates how much best-effort work of one image (the aggressor) slows serving tasks
/// of another image (the victim), from noisy samples of the tail of their response times.
///
/// The model of the logarithm of a tail is a sum: a baseline of the victim's image, and for each
/// aggressor its log slowdown per core times the cores that it uses. The log slowdown is the sum of
/// the aggressor's mean over all victims and a difference for the pair of images. A pair without
/// samples uses the aggressor's mean, and a new image uses the prior. A sample with several
/// aggressors corrects each estimate in proportion to its variance (a Kalman filter with a diagonal
/// covariance matrix).
class InterferenceModel {
 public:
  /// \brief Mean and variance of one estimated value. A variance of 0 means that there was no
  /// sample yet.
  struct Estimate {
    double mean = 0.0;
    double variance = 0.0;
    TimePoint updated_at{};  ///< time of the last update
  };

  explicit InterferenceModel(const InterferenceSettings& settings) : settings(settings) {}

  /// \returns the index of \a image, which is added if it is new. After 256 images, all further
  ///   images share the last index, which bounds the memory.
  ImageIndex IndexOf(const ImageId& image);

  /// \returns the log slowdown that one core of \a aggressor causes to \a victim; never negative.
  ///   Takes constant time.
  double LogSlowdown(ImageIndex victim, ImageIndex aggressor) const;

  /// \returns the logarithm of the tail, in milliseconds, of \a victim without aggressors; 0 if
  ///   there was no sample of \a victim yet.
  double BaselineLogTail(ImageIndex victim) const;

  /// \returns the deviation of the estimate of LogSlowdown(). Takes constant time.
  double LogSlowdownDeviation(ImageIndex victim, ImageIndex aggressor) const;

  /// \returns the logarithm of the tail, in milliseconds, of \a victim without aggressors at the
  ///   peak of its load.
  double PeakLogTail(ImageIndex victim) const;

  /// \brief Updates the estimates with one reported tail of a serving task whose own load is
  /// tracked, and updates the task's level.
  ///
  /// Between two reports the load changes little, so a jump of the tail when best-effort work
  /// begins or ends is due to that work. Learn() takes it for noise of the load in part.
  void LearnBeside(ImageIndex victim, const std::vector<Aggressor>& aggressors, double log_tail,
                   TimePoint listed_at, TailLevel* level);

  /// \brief Updates the variation over time of the tail of \a victim with one sample.
  /// \param log_tail natural logarithm of the tail in milliseconds, without the slowdown by
  ///   best-effort work
  void LearnLevel(ImageIndex victim, double log_tail);

  /// \returns the learned estimates as CBOR bytes, for the next owner of the cell.
  std::string Encode() const;

  /// \brief Replaces all estimates by those that Encode() wrote.
  /// \param now time from which the variance of the estimates grows
  /// \returns false, and changes nothing, if \a bytes are malformed
  bool Decode(const std::string& bytes, TimePoint now);

  /// \brief Updates the estimates with one reported tail of a serving task.
  /// \param victim image of the serving task
  /// \param aggressors best-effort work on the same target
  /// \param log_tail natural logarithm of the tail in milliseconds
  /// \param listed_at time of the report
  void Learn(ImageIndex victim, const std::vector<Aggressor>& aggressors, double log_tail,
             TimePoint listed_at);

 private:
  /// Mean and variance over time of a log tail without aggressors.
  struct Level {
    double mean = 0.0;
    double variance = 0.0;
    double samples = 0.0;  ///< number of samples, at most `max_level_samples`
  };
  /// One term of the sum that predicts the logarithm of a tail.
  struct Term {
    Estimate* estimate;
    double factor;        ///< factor of the estimate in the sum: the cores in use, 1 for a baseline
    double max_variance;  ///< variance that the estimate does not grow beyond without samples
    double drift_per_second;  ///< growth of the variance without samples
  };

  /// \returns \a estimate, set to \a mean and \a variance if there was no sample yet.
  Estimate& Initialized(Estimate* estimate, double mean, double variance, TimePoint now) const;
  /// Adds the terms of the slowdowns by \a aggressors.
  void AddSlowdownTerms(ImageIndex victim, const std::vector<Aggressor>& aggressors,
                        TimePoint listed_at, std::vector<Term>* terms);
  /// Corrects the estimates of \a terms by one sample whose noise has the variance \a noise.
  void Correct(const std::vector<Term>& terms, double log_tail, double noise,
               TimePoint listed_at) const;
  /// Grows the variance of a term's estimate by the drift since its last sample.
  void AddDrift(const Term& term, TimePoint now) const;

  InterferenceSettings settings;
  std::map<ImageId, ImageIndex> indices;
  std::vector<Estimate> baselines;        ///< logarithms of the tails of serving images run alone
  std::vector<Level> levels;              ///< variation of the tails of serving images run alone
  std::vector<Estimate> image_slowdowns;  ///< log slowdown per core by aggressor, over all victims
  /// Difference of a pair's log slowdown from that of the aggressor; by victim, then by aggressor.
  std::vector<std::vector<Estimate>> pair_slowdowns;
};

}  // namespace pistachio

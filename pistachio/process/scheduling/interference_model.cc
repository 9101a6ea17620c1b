#include "pistachio/process/scheduling/interference_model.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

namespace internal {

/// Initial logarithm of the tail of a serving image, about 20 ms. The first sample corrects it.
constexpr double kInitialLogTail = 3.0;
constexpr std::size_t kMaxImages = 256;

}  // namespace internal

ImageIndex InterferenceModel::IndexOf(const ImageId& image) {
  const auto known = this->indices.find(image);
  if (known != this->indices.end()) {
    return known->second;
  }
  if (this->baselines.size() == internal::kMaxImages) {
    return internal::kMaxImages - 1;
  }
  const ImageIndex added = this->baselines.size();
  this->indices.emplace(image, added);
  this->baselines.emplace_back();
  this->levels.emplace_back();
  this->image_slowdowns.emplace_back();
  for (std::vector<Estimate>& row : this->pair_slowdowns) {
    row.emplace_back();
  }
  this->pair_slowdowns.emplace_back(this->baselines.size());
  return added;
}

double InterferenceModel::LogSlowdown(ImageIndex victim, ImageIndex aggressor) const {
  const Estimate& of_image = this->image_slowdowns[aggressor];
  const double image = of_image.variance > 0.0 ? of_image.mean : this->settings.prior_log_slowdown;
  return std::max(0.0, image + this->pair_slowdowns[victim][aggressor].mean);
}

double InterferenceModel::BaselineLogTail(ImageIndex victim) const {
  return this->baselines[victim].mean;
}

double InterferenceModel::LogSlowdownDeviation(ImageIndex victim, ImageIndex aggressor) const {
  const Estimate& image = this->image_slowdowns[aggressor];
  const Estimate& pair = this->pair_slowdowns[victim][aggressor];
  return std::sqrt((image.variance > 0.0 ? image.variance : this->settings.image_variance) +
                   (pair.variance > 0.0 ? pair.variance : this->settings.pair_variance));
}

double InterferenceModel::PeakLogTail(ImageIndex victim) const {
  const Level& level = this->levels[victim];
  const double prior = this->settings.prior_level_samples;
  const double prior_variance =
      this->settings.prior_level_deviation * this->settings.prior_level_deviation;
  const double variance =
      (level.variance * level.samples + prior_variance * prior) / (level.samples + prior);
  const double mean = level.samples > 0.0 ? level.mean : this->baselines[victim].mean;
  return mean + this->settings.peak_deviations * std::sqrt(variance);
}

void InterferenceModel::LearnLevel(ImageIndex victim, double log_tail) {
  Level& level = this->levels[victim];
  level.samples = std::min(level.samples + 1.0, this->settings.max_level_samples);
  const double error = log_tail - level.mean;
  level.mean += error / level.samples;
  level.variance += (error * (log_tail - level.mean) - level.variance) / level.samples;
}

InterferenceModel::Estimate& InterferenceModel::Initialized(Estimate* estimate, double mean,
                                                            double variance, TimePoint now) const {
  if (estimate->variance <= 0.0) {
    *estimate = Estimate{mean, variance, now};
  }
  return *estimate;
}

void InterferenceModel::AddDrift(const Term& term, TimePoint now) const {
  if (now > term.estimate->updated_at) {
    const std::chrono::duration<double> elapsed = now - term.estimate->updated_at;
    const double grown = term.estimate->variance + term.drift_per_second * elapsed.count();
    term.estimate->variance = std::min(grown, term.max_variance);
  }
  term.estimate->updated_at = std::max(term.estimate->updated_at, now);
}

void InterferenceModel::Learn(ImageIndex victim, const std::vector<Aggressor>& aggressors,
                              double log_tail, TimePoint listed_at) {
  std::vector<Term> terms;
  Estimate& base = this->Initialized(&this->baselines[victim], internal::kInitialLogTail,
                                     this->settings.baseline_variance, listed_at);
  terms.push_back({&base, 1.0, this->settings.baseline_variance, this->settings.drift_per_second});
  this->AddSlowdownTerms(victim, aggressors, listed_at, &terms);
  this->Correct(terms, log_tail, this->settings.sample_variance, listed_at);
}

void InterferenceModel::AddSlowdownTerms(ImageIndex victim,
                                         const std::vector<Aggressor>& aggressors,
                                         TimePoint listed_at, std::vector<Term>* terms) {
  for (const Aggressor& aggressor : aggressors) {
    Estimate& image = this->Initialized(&this->image_slowdowns[aggressor.image],
                                        this->settings.prior_log_slowdown,
                                        this->settings.image_variance, listed_at);
    Estimate& pair = this->Initialized(&this->pair_slowdowns[victim][aggressor.image], 0.0,
                                       this->settings.pair_variance, listed_at);
    terms->push_back(
        {&image, aggressor.cores, this->settings.image_variance, this->settings.drift_per_second});
    terms->push_back(
        {&pair, aggressor.cores, this->settings.pair_variance, this->settings.drift_per_second});
  }
}

void InterferenceModel::Correct(const std::vector<Term>& terms, double log_tail, double noise,
                                TimePoint listed_at) const {
  double expected = 0.0;
  double variance = noise;
  for (const Term& term : terms) {
    this->AddDrift(term, listed_at);
    expected += term.factor * term.estimate->mean;
    variance += term.factor * term.factor * term.estimate->variance;
  }
  const double error = log_tail - expected;
  for (const Term& term : terms) {
    const double gain = term.estimate->variance * term.factor / variance;
    term.estimate->mean += gain * error;
    term.estimate->variance *= 1.0 - gain * term.factor;
  }
}

void InterferenceModel::LearnBeside(ImageIndex victim, const std::vector<Aggressor>& aggressors,
                                    double log_tail, TimePoint listed_at, TailLevel* level) {
  const bool is_new = level->first_at == TimePoint{};
  Estimate load{is_new ? this->BaselineLogTail(victim) : level->present,
                is_new ? this->settings.baseline_variance : level->variance,
                is_new ? listed_at : level->updated_at};
  std::vector<Term> terms = {
      {&load, 1.0, this->settings.baseline_variance, this->settings.load_drift_per_second}};
  this->AddSlowdownTerms(victim, aggressors, listed_at, &terms);
  this->Correct(terms, log_tail, this->settings.tracked_sample_variance, listed_at);
  level->Add(load.mean, listed_at);
  level->variance = load.variance;
}

std::string InterferenceModel::Encode() const {
  std::vector<std::string> by_index(this->baselines.size());
  for (const auto& [image, at] : this->indices) {
    by_index[at] = image.str();
  }
  const auto row = [](const Estimate& estimate) {
    return nlohmann::json::array({estimate.mean, estimate.variance});
  };
  nlohmann::json images = nlohmann::json::array();
  nlohmann::json pairs_seen = nlohmann::json::array();
  for (ImageIndex victim = 0; victim < by_index.size(); ++victim) {
    const Level& level = this->levels[victim];
    images.push_back(nlohmann::json::array(
        {by_index[victim], row(this->baselines[victim]), row(this->image_slowdowns[victim]),
         nlohmann::json::array({level.mean, level.variance, level.samples})}));
    for (ImageIndex aggressor = 0; aggressor < by_index.size(); ++aggressor) {
      const Estimate& pair = this->pair_slowdowns[victim][aggressor];
      if (pair.variance > 0.0) {
        pairs_seen.push_back(nlohmann::json::array({victim, aggressor, row(pair)}));
      }
    }
  }
  return ToCborBytes(nlohmann::json::array({images, pairs_seen}));
}

bool InterferenceModel::Decode(const std::string& bytes, TimePoint now) {
  const auto json = ReadBoundedCbor<nlohmann::json>(bytes);
  if (!json) {
    return false;
  }
  InterferenceModel decoded(this->settings);
  const auto estimate = [now](const nlohmann::json& row) {
    return Estimate{row.at(0).get<double>(), row.at(1).get<double>(), now};
  };
  try {
    for (const nlohmann::json& row : json->at(0)) {
      const ImageIndex at = decoded.IndexOf(ImageId(row.at(0).get<std::string>()));
      decoded.baselines[at] = estimate(row.at(1));
      decoded.image_slowdowns[at] = estimate(row.at(2));
      if (row.size() > 3) {
        const nlohmann::json& level = row.at(3);
        decoded.levels[at] =
            Level{level.at(0).get<double>(), level.at(1).get<double>(), level.at(2).get<double>()};
      }
    }
    for (const nlohmann::json& row : json->at(1)) {
      decoded.pair_slowdowns.at(row.at(0).get<std::size_t>()).at(row.at(1).get<std::size_t>()) =
          estimate(row.at(2));
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  } catch (const std::out_of_range&) {
    return false;
  }
  *this = std::move(decoded);
  return true;
}

}  // namespace pistachio

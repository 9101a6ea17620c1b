#include "pistachio/process/scheduling/duration_model.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxDurationEntries = 256;
/// Largest encoded state. Names of images have no fixed length, so the number of entries alone does
/// not bound it.
constexpr std::size_t kMaxDurationBytes = 8192;
/// Numbers are stored as integers in this unit, which takes 3 bytes instead of 9.
constexpr double kStoredUnit = 1000.0;
/// Mean of the squared normal deviate clipped at 2, by which clipped squares are corrected.
constexpr double kClippedVariance = 0.9205;
/// Added to the variance of declared estimates, so that nearly equal ones give no slope.
constexpr double kMinDeclaredVariance = 0.05;
/// Factor on the gain for the share of the tail: 3 % of 200 ends are too few to tell it.
constexpr double kTailGain = 0.2;
/// Largest logarithm of a ratio that is learned or read, a factor of about 400.
constexpr double kMaxLogRatio = 6.0;

double MillisecondsOf(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Largest logarithm of a declared estimate in milliseconds that is read, a month.
constexpr double kMaxLogDeclared = 22.0;

std::int64_t ToStored(double value) { return std::llround(value * kStoredUnit); }

double FromStored(const nlohmann::json& row, std::size_t at, double low, double high) {
  const double value = static_cast<double>(row.at(at).get<std::int64_t>()) / kStoredUnit;
  return std::clamp(value, low, high);
}

}  // namespace internal

Duration LearnedDuration::Usual(Duration declared) const { return this->Quantile(declared, 0.0); }

Duration LearnedDuration::Quantile(Duration declared, double deviations) const {
  if (this->exact() || declared <= Duration(0)) {
    return declared;
  }
  const double x = std::log(internal::MillisecondsOf(declared));
  const double exponent = this->factor.mean_log + this->slope * (x - this->mean_declared_log) +
                          deviations * this->factor.deviation_log;
  // Estimates are at most some weeks; the bound keeps the product within the range of Duration.
  constexpr double kMaxExponent = 8.0;
  return std::chrono::duration_cast<Duration>(
      declared * std::exp(std::clamp(exponent, -kMaxExponent, kMaxExponent)));
}

void DurationModel::Learn(const QueueId& queue, std::uint32_t step, const ImageId& image,
                          const DurationSample& sample) {
  if (sample.declared <= Duration(0) || sample.real <= Duration(0)) {
    return;
  }
  this->ends++;
  const bool known =
      image.empty() ? this->by_step.count({queue, step}) != 0 : this->by_image.count(image) != 0;
  if (!known) {
    this->MakeRoom();
  }
  Estimate& estimate = image.empty() ? this->by_step[{queue, step}] : this->by_image[image];
  this->Update(&estimate, sample, true);
  this->Update(&this->overall, sample, false);
}

void DurationModel::Update(Estimate* estimate, const DurationSample& sample,
                           bool with_slope) const {
  const DurationSettings& limits = this->settings;
  const double declared_ms = internal::MillisecondsOf(sample.declared);
  const double real_ms = internal::MillisecondsOf(sample.real);
  const double log_ratio =
      std::clamp(std::log(real_ms / declared_ms), -internal::kMaxLogRatio, internal::kMaxLogRatio);
  const double x = std::log(declared_ms);
  if (estimate->weight <= 0.0) {
    estimate->variance = limits.initial_deviation * limits.initial_deviation;
    estimate->mean_x = x;
  }
  const double weight = 1.0 / std::sqrt(static_cast<double>(std::max(1U, sample.count)));
  estimate->weight = std::min(estimate->weight + weight, limits.memory);
  estimate->updated = this->ends;
  // One end more than there were, so that the first one does not replace the prior.
  const double gain = weight / (estimate->weight + 1.0);
  const double deviation = std::max(std::sqrt(estimate->variance), limits.min_deviation);
  const double distance = x - estimate->mean_x;
  const double error = log_ratio - estimate->mean - estimate->slope * distance;
  const double clipped = std::clamp(error / deviation, -limits.clip, limits.clip);
  const bool in_tail = error > std::log(limits.tail_ratio);
  estimate->tail_share +=
      gain * internal::kTailGain * ((in_tail ? 1.0 : 0.0) - estimate->tail_share);
  estimate->mean += gain * clipped * deviation;
  const double excess = clipped * clipped / internal::kClippedVariance - 1.0;
  estimate->variance = std::max(limits.min_deviation * limits.min_deviation,
                                estimate->variance * (1.0 + gain * excess));
  estimate->mean_x += gain * distance;
  estimate->variance_x += gain * (distance * distance - estimate->variance_x);
  if (with_slope) {
    const double correction = gain * clipped * deviation * distance /
                              (estimate->variance_x + internal::kMinDeclaredVariance);
    estimate->slope = std::clamp(estimate->slope + correction, -1.0, 0.0);
  }
  estimate->real_ms += gain * (real_ms - estimate->real_ms);
  estimate->declared_ms += gain * (declared_ms - estimate->declared_ms);
}

LearnedDuration DurationModel::Find(const QueueId& queue, std::uint32_t step,
                                    const ImageId& image) const {
  if (!image.empty()) {
    const auto found = this->by_image.find(image);
    return found == this->by_image.end() ? LearnedDuration{} : this->Describe(found->second);
  }
  const auto found = this->by_step.find({queue, step});
  return found == this->by_step.end() ? LearnedDuration{} : this->Describe(found->second);
}

LearnedDuration DurationModel::Describe(const Estimate& estimate) const {
  LearnedDuration result;
  if (!this->settings.enabled || estimate.weight < this->settings.min_weight) {
    return result;
  }
  const double band = this->settings.exact_band;
  const double deviation = std::sqrt(estimate.variance);
  result.learned = true;
  const double slope_effect = std::abs(estimate.slope) * std::sqrt(estimate.variance_x);
  const bool exact_mean = std::abs(estimate.mean) <= band;
  const bool exact_spread = deviation <= band && slope_effect <= band;
  if (!exact_mean || !exact_spread) {
    result.factor = {exact_mean ? 0.0 : estimate.mean, deviation};
    result.slope = slope_effect > band ? estimate.slope : 0.0;
    result.mean_declared_log = estimate.mean_x;
  }
  result.tail_share = estimate.tail_share;
  const double volume = estimate.declared_ms > 0.0 ? estimate.real_ms / estimate.declared_ms : 1.0;
  result.volume = volume > 0.0 && std::abs(std::log(volume)) > band ? volume : 1.0;
  return result;
}

void DurationModel::MakeRoom() {
  if (this->size() < internal::kMaxDurationEntries) {
    return;
  }
  const auto earlier = [](const auto& a, const auto& b) {
    return a.second.updated < b.second.updated;
  };
  const auto image = std::min_element(this->by_image.begin(), this->by_image.end(), earlier);
  const auto step = std::min_element(this->by_step.begin(), this->by_step.end(), earlier);
  const bool drop_image =
      step == this->by_step.end() ||
      (image != this->by_image.end() && image->second.updated < step->second.updated);
  if (drop_image) {
    this->by_image.erase(image);
  } else {
    this->by_step.erase(step);
  }
}

std::string DurationModel::Encode() const {
  const auto row = [](nlohmann::json name, const Estimate& estimate) {
    name.push_back(internal::ToStored(estimate.mean));
    name.push_back(internal::ToStored(std::sqrt(estimate.variance)));
    name.push_back(internal::ToStored(estimate.tail_share));
    name.push_back(std::llround(estimate.weight));
    name.push_back(internal::ToStored(estimate.slope));
    name.push_back(internal::ToStored(estimate.mean_x));
    name.push_back(internal::ToStored(std::sqrt(estimate.variance_x)));
    const bool known = estimate.real_ms > 0.0 && estimate.declared_ms > 0.0;
    name.push_back(known ? internal::ToStored(std::log(estimate.real_ms / estimate.declared_ms))
                         : 0);
    return name;
  };
  std::vector<std::pair<std::uint64_t, nlohmann::json>> rows;
  for (const auto& [image, estimate] : this->by_image) {
    rows.emplace_back(estimate.updated, row(nlohmann::json::array({image.str(), -1}), estimate));
  }
  for (const auto& [step, estimate] : this->by_step) {
    rows.emplace_back(estimate.updated,
                      row(nlohmann::json::array({step.first.str(), step.second}), estimate));
  }
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  nlohmann::json kept = nlohmann::json::array();
  const nlohmann::json all = row(nlohmann::json::array({"", -1}), this->overall);
  std::size_t bytes = ToCborBytes(all).size() + sizeof(std::uint64_t);
  for (auto& [updated, json] : rows) {
    bytes += ToCborBytes(json).size();
    if (bytes > internal::kMaxDurationBytes) {
      break;
    }
    kept.push_back(std::move(json));
  }
  return ToCborBytes(nlohmann::json::array({all, kept}));
}

bool DurationModel::Decode(const std::string& bytes) {
  const auto json = ReadBoundedCbor<nlohmann::json>(bytes);
  if (!json) {
    return false;
  }
  DurationModel decoded(this->settings);
  const auto estimate = [&decoded](const nlohmann::json& row) {
    Estimate read;
    read.mean = internal::FromStored(row, 2, -internal::kMaxLogRatio, internal::kMaxLogRatio);
    const double deviation =
        internal::FromStored(row, 3, decoded.settings.min_deviation, internal::kMaxLogRatio);
    read.variance = deviation * deviation;
    read.tail_share = internal::FromStored(row, 4, 0.0, 1.0);
    read.weight = std::clamp(row.at(5).get<double>(), 0.0, decoded.settings.memory);
    read.slope = internal::FromStored(row, 6, -1.0, 0.0);
    read.mean_x = internal::FromStored(row, 7, 0.0, internal::kMaxLogDeclared);
    const double deviation_x = internal::FromStored(row, 8, 0.0, internal::kMaxLogDeclared);
    read.variance_x = deviation_x * deviation_x;
    read.declared_ms = std::exp(read.mean_x);
    read.real_ms = read.declared_ms * std::exp(internal::FromStored(row, 9, -internal::kMaxLogRatio,
                                                                    internal::kMaxLogRatio));
    read.updated = ++decoded.ends;
    return read;
  };
  try {
    decoded.overall = estimate(json->at(0));
    const nlohmann::json& rows = json->at(1);
    // The latest comes first, so the oldest gets the lowest number.
    for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
      decoded.MakeRoom();
      const std::string name = row->at(0).get<std::string>();
      const auto step = row->at(1).get<std::int64_t>();
      if (step < 0) {
        decoded.by_image[ImageId(name)] = estimate(*row);
      } else {
        decoded.by_step[{QueueId(name), static_cast<std::uint32_t>(step)}] = estimate(*row);
      }
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  *this = std::move(decoded);
  return true;
}

}  // namespace pistachio

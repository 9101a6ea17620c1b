#include "pistachio/process/policy/slowdown_model.h"

#include <algorithm>
#include <cmath>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxClasses = 256;

std::size_t KindIndex(WorkKind kind) { return kind == WorkKind::kService ? 0 : 1; }

}  // namespace internal

SlowdownModel::SlowdownModel(const SlowdownSettings& settings, const PolicyParts& parts)
    : settings(settings), parts(parts) {}

ClassIndex SlowdownModel::IndexOf(const WorkClass& work_class, WorkKind kind) {
  const auto known = this->index.find(work_class.str());
  if (known != this->index.end()) {
    return known->second;
  }
  if (this->kinds.size() == internal::kMaxClasses) {
    return internal::kMaxClasses - 1;
  }
  const ClassIndex added = this->kinds.size();
  this->index.emplace(work_class.str(), added);
  this->kinds.push_back(kind);
  BaseEstimates base;
  base.all.variance = this->settings.base_variance;
  base.band.fill(Estimate{0.0, this->settings.base_variance, {}});
  this->bases.push_back(base);
  for (auto& effects : this->class_effects) {
    effects.push_back({this->settings.prior_effect, this->settings.class_variance, {}});
  }
  this->pairs.emplace_back();
  return added;
}

std::size_t SlowdownModel::BandOf(double load) const {
  if (!this->parts.bands) {
    return 0;
  }
  const double scaled = std::clamp(load, 0.0, 1.0) * static_cast<double>(kLoadBands);
  return std::min(static_cast<std::size_t>(scaled), kLoadBands - 1);
}

double SlowdownModel::Base(ClassIndex victim, double load) const {
  const BaseEstimates& base = this->bases[victim];
  return base.all.mean + base.band[this->BandOf(load)].mean;
}

Estimate SlowdownModel::Effect(ClassIndex victim, ClassIndex aggressor, double load) const {
  Estimate effect = this->class_effects[internal::KindIndex(this->kinds[victim])][aggressor];
  const auto& row = this->pairs[victim];
  if (aggressor < row.size()) {
    const Estimate& pair = row[aggressor].pair;
    const Estimate& band = row[aggressor].band[this->BandOf(load)];
    effect.mean += pair.mean + band.mean;
    effect.variance += pair.variance + band.variance;
  } else {
    effect.variance += this->settings.pair_variance + this->settings.band_variance;
  }
  effect.mean = std::max(0.0, effect.mean);
  return effect;
}

SlowdownModel::PairEstimates& SlowdownModel::Pair(ClassIndex victim, ClassIndex aggressor) {
  auto& row = this->pairs[victim];
  if (aggressor >= row.size()) {
    PairEstimates unknown;
    unknown.pair.variance = this->settings.pair_variance;
    unknown.band.fill(Estimate{0.0, this->settings.band_variance, {}});
    row.resize(aggressor + 1, unknown);
  }
  return row[aggressor];
}

void SlowdownModel::Age(const Term& term, TimePoint now) const {
  if (this->parts.decay && now > term.estimate->updated_at) {
    const std::chrono::duration<double> unseen = now - term.estimate->updated_at;
    const double grown = term.estimate->variance + this->settings.drift_per_second * unseen.count();
    term.estimate->variance = std::min(grown, term.largest_variance);
  }
  term.estimate->updated_at = std::max(term.estimate->updated_at, now);
}

void SlowdownModel::Correct(const std::vector<Term>& terms, double error, double variance) const {
  for (const Term& term : terms) {
    const double gain = term.estimate->variance * term.factor / variance;
    term.estimate->mean += gain * error;
    if (this->parts.uncertainty) {
      term.estimate->variance *= 1.0 - gain * term.factor;
    }
  }
}

double SlowdownModel::Learn(ClassIndex victim, const std::vector<Aggressor>& aggressors,
                            double load, double log_slowdown, TimePoint measured_at) {
  const std::size_t band = this->BandOf(load);
  auto& class_row = this->class_effects[internal::KindIndex(this->kinds[victim])];
  for (const Aggressor& aggressor : aggressors) {
    this->Pair(victim, aggressor.work_class);
  }
  std::vector<Term> terms;
  BaseEstimates& base = this->bases[victim];
  terms.push_back({&base.all, 1.0, this->settings.base_variance});
  terms.push_back({&base.band[band], 1.0, this->settings.base_variance});
  for (const Aggressor& aggressor : aggressors) {
    PairEstimates& pair = this->Pair(victim, aggressor.work_class);
    Estimate& of_class = class_row[aggressor.work_class];
    terms.push_back({&of_class, aggressor.speed, this->settings.class_variance});
    terms.push_back({&pair.pair, aggressor.speed, this->settings.pair_variance});
    terms.push_back({&pair.band[band], aggressor.speed, this->settings.band_variance});
  }
  double expected = 0.0;
  double variance = this->settings.sample_variance;
  for (const Term& term : terms) {
    this->Age(term, measured_at);
    expected += term.factor * term.estimate->mean;
    variance += term.factor * term.factor * term.estimate->variance;
  }
  const double error = log_slowdown - expected;
  this->Correct(terms, error, variance);
  return error / std::sqrt(variance);
}

}  // namespace pistachio

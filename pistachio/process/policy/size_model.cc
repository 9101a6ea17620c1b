#include "pistachio/process/policy/size_model.h"

#include <algorithm>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxJobs = 20000;
constexpr double kSmallestGain = 0.1;

double Ratio(double used, std::int64_t declared) {
  return declared > 0 ? used / static_cast<double>(declared) : 1.0;
}

}  // namespace internal

void SizeModel::Blend(Usage& usage, double cpu_ratio, double memory_ratio) {
  ++usage.samples;
  const double gain = std::max(internal::kSmallestGain, 1.0 / usage.samples);
  usage.cpu_ratio += gain * (cpu_ratio - usage.cpu_ratio);
  usage.memory_ratio += gain * (memory_ratio - usage.memory_ratio);
}

void SizeModel::ForgetOldest() {
  while (this->jobs.size() > internal::kMaxJobs) {
    const auto oldest = this->by_touch.begin();
    this->jobs.erase(oldest->second);
    this->by_touch.erase(oldest);
  }
}

void SizeModel::Learn(const UsageSample& sample, const Resources& declared, double speed) {
  if (sample.used == Resources{} || speed <= 0.0) {
    return;
  }
  const double cpu_ratio =
      internal::Ratio(static_cast<double>(sample.used.cpu_millis) / speed, declared.cpu_millis);
  const double memory_ratio =
      internal::Ratio(static_cast<double>(sample.used.memory_mib), declared.memory_mib);
  Usage& job = this->jobs[sample.task.job.str()];
  Blend(job, cpu_ratio, memory_ratio);
  Blend(this->classes[sample.work_class.str()], cpu_ratio, memory_ratio);
  this->by_touch.erase(job.touched);
  job.touched = ++this->touches;
  this->by_touch.emplace(job.touched, sample.task.job.str());
  this->ForgetOldest();
}

PredictedUse SizeModel::Predict(const JobId& job, const WorkClass& work_class,
                                const Resources& declared) const {
  PredictedUse use{static_cast<double>(declared.cpu_millis),
                   static_cast<double>(declared.memory_mib)};
  const Usage* known = nullptr;
  const auto of_job = this->jobs.find(job.str());
  if (of_job != this->jobs.end()) {
    known = &of_job->second;
  } else {
    const auto of_class = this->classes.find(work_class.str());
    known = of_class != this->classes.end() ? &of_class->second : nullptr;
  }
  if (known != nullptr) {
    use.cpu_millis *= known->cpu_ratio;
    use.memory_mib *= known->memory_ratio;
  }
  return use;
}

}  // namespace pistachio

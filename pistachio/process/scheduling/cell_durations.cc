#include <algorithm>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/model_record.h"

namespace pistachio {

namespace internal {

constexpr double kFullPace = 100.0;
constexpr double kFullPercent = 100.0;
/// Smallest share of the work that a run must have done for its time to tell that of the whole.
constexpr double kMinMeasuredShare = 0.2;

Duration WorkedTime(const Task& task, TimePoint now) {
  const TimePoint begin =
      std::max({task.started_at, task.paced_at, task.measured_from.value_or(TimePoint{})});
  const double share = static_cast<double>(task.pace) / kFullPace;
  return task.worked + std::chrono::duration_cast<Duration>((now - begin) * share);
}

}  // namespace internal

void Cell::LoadModel(const std::string& bytes, TimePoint now) {
  const auto unreadable = [this](const char* record) {
    this->Log(EventCode::kRecordUnreadable, {{"cell", this->cell_id.str()}, {"record", record}});
  };
  const auto models = DecodeModelRecord(bytes);
  if (!models || !this->interference_model.Decode(models->interference, now)) {
    unreadable("model");
  }
  if (models && !models->durations.empty() && !this->duration_model.Decode(models->durations)) {
    unreadable("durations");
  }
}

std::string Cell::EncodeModel() const {
  return EncodeModelRecord({this->interference_model.Encode(), this->duration_model.Encode()});
}

LearnedDuration Cell::LearnedOf(const Submission& submission, std::uint32_t step) const {
  const StepSpec& spec = submission.Step(step);
  return spec.long_running
             ? LearnedDuration{}
             : this->duration_model.Find(submission.accepted.queue.id, step, spec.image);
}

std::vector<Duration> Cell::UsualDurations(const Submission& submission) const {
  const std::vector<StepSpec>& steps = submission.accepted.spec.steps;
  std::vector<Duration> durations;
  durations.reserve(steps.size());
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    durations.push_back(this->LearnedOf(submission, step).Usual(steps[step].estimate));
  }
  return durations;
}

void Cell::LearnDuration(const Target& target, const Submission& submission, const TaskKey& key,
                         const Task& task, TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  const bool unmeasured =
      task.started_at == TimePoint{} || spec.long_running || (task.partial && !task.measured_from);
  if (unmeasured) {
    return;
  }
  const double share = 1.0 - task.measured_percent / internal::kFullPercent;
  if (share < internal::kMinMeasuredShare) {
    return;
  }
  const double slowness = std::max(1.0, target.load.slowness);
  DurationSample sample;
  sample.declared = spec.estimate;
  sample.real =
      std::chrono::duration_cast<Duration>(internal::WorkedTime(task, now) / (share * slowness));
  sample.count = spec.count;
  this->duration_model.Learn(submission.accepted.queue.id, key.step, spec.image, sample);
}

}  // namespace pistachio

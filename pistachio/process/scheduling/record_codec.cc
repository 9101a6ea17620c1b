#include "pistachio/process/scheduling/record_codec.h"

#include <map>
#include <nlohmann/json.hpp>

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

namespace internal {

using Json = nlohmann::json;

/// Throws if \a text is not UTF-8, which CBOR does not check. No order and no key of a JSON message
/// could hold such text.
void CheckUtf8(const std::string& text) { static_cast<void>(Json(text).dump()); }

// Records are arrays of values. With a key for each field, the keys would be most of the bytes.

Json StepToJson(const StepSpec& step) {
  return Json::array({step.count, step.need.cpu_millis, step.need.memory_mib,
                      step.need.accelerators, step.estimate.count(), step.after, step.checkpointing,
                      step.gang, step.same_rack, step.speculative, step.long_running,
                      step.best_effort, step.required_label, step.data_rack, step.max_per_target,
                      step.image.str(), step.tail_bound.count(), step.max_unavailable});
}

/// Reads the value at position \a at of \a row and advances \a at.
template <class Value>
void ReadNext(const Json& row, std::size_t* at, Value* value) {
  *value = row.at((*at)++).get<Value>();
}

StepSpec StepFromJson(const Json& row) {
  StepSpec step;
  std::size_t at = 0;
  std::int64_t estimate = 0;
  std::int64_t tail_bound = 0;
  std::string image;
  ReadNext(row, &at, &step.count);
  ReadNext(row, &at, &step.need.cpu_millis);
  ReadNext(row, &at, &step.need.memory_mib);
  ReadNext(row, &at, &step.need.accelerators);
  ReadNext(row, &at, &estimate);
  ReadNext(row, &at, &step.after);
  ReadNext(row, &at, &step.checkpointing);
  ReadNext(row, &at, &step.gang);
  ReadNext(row, &at, &step.same_rack);
  ReadNext(row, &at, &step.speculative);
  ReadNext(row, &at, &step.long_running);
  ReadNext(row, &at, &step.best_effort);
  ReadNext(row, &at, &step.required_label);
  ReadNext(row, &at, &step.data_rack);
  ReadNext(row, &at, &step.max_per_target);
  ReadNext(row, &at, &image);
  ReadNext(row, &at, &tail_bound);
  ReadNext(row, &at, &step.max_unavailable);
  step.estimate = Duration(estimate);
  step.image = ImageId(image);
  step.tail_bound = std::chrono::milliseconds(tail_bound);
  return step;
}

Json QueueToJson(const QueueSettings& queue) {
  return Json::array({queue.id.str(), queue.host, queue.path_prefix, queue.service.str(),
                      queue.priority, queue.max_attempts, queue.stretch,
                      queue.objective_slack.count(), queue.answer_timeout.count(),
                      queue.needs_advice});
}

QueueSettings QueueFromJson(const Json& row) {
  QueueSettings queue;
  std::size_t at = 0;
  std::string id;
  std::string service;
  std::int64_t slack = 0;
  std::int64_t timeout = 0;
  ReadNext(row, &at, &id);
  ReadNext(row, &at, &queue.host);
  ReadNext(row, &at, &queue.path_prefix);
  ReadNext(row, &at, &service);
  ReadNext(row, &at, &queue.priority);
  ReadNext(row, &at, &queue.max_attempts);
  ReadNext(row, &at, &queue.stretch);
  ReadNext(row, &at, &slack);
  ReadNext(row, &at, &timeout);
  ReadNext(row, &at, &queue.needs_advice);
  queue.id = QueueId(id);
  queue.service = ServiceId(service);
  queue.objective_slack = std::chrono::milliseconds(slack);
  queue.answer_timeout = std::chrono::milliseconds(timeout);
  return queue;
}

AcceptedSubmission AcceptedFromJson(const Json& row) {
  AcceptedSubmission accepted;
  accepted.id = SubmissionId(row.at(0).get<std::string>());
  accepted.queue = QueueFromJson(row.at(1));
  accepted.accepted_at = WallTime(row.at(2).get<std::int64_t>());
  accepted.spec.payload = row.at(3).get<std::string>();
  CheckUtf8(accepted.id.str());
  CheckUtf8(accepted.spec.payload);
  accepted.spec.repeat_count = row.at(4).get<std::uint32_t>();
  accepted.spec.start_at = WallTime(row.at(5).get<std::int64_t>());
  accepted.spec.interval = std::chrono::milliseconds(row.at(6).get<std::int64_t>());
  for (const Json& step : row.at(7)) {
    accepted.spec.steps.push_back(StepFromJson(step));
  }
  // Records of earlier versions end here.
  accepted.moves = row.size() > 8 ? row.at(8).get<std::uint32_t>() : 0;
  accepted.progress = row.size() > 9 ? row.at(9).get<std::string>() : "";
  return accepted;
}

/// Table of the target incarnations in a record. Each is written once; tasks refer to it by index.
class IncarnationTable {
 public:
  std::size_t IndexOf(const TargetIncarnation& incarnation) {
    const auto key = std::make_pair(incarnation.target, incarnation.number);
    const auto [found, added] = this->indices.emplace(key, this->rows.size());
    if (added) {
      this->rows.push_back(
          Json::array({incarnation.target.str(), incarnation.number, incarnation.address}));
    }
    return found->second;
  }
  const Json& json() const { return this->rows; }

 private:
  std::map<std::pair<TargetId, std::uint64_t>, std::size_t> indices;
  Json rows = Json::array();
};

/// \returns null for a task that never had a run, the run number for a done task, an array of the
///   stored fields for any other.
Json TaskToJson(const Task& task, IncarnationTable* targets) {
  const bool untouched =
      task.phase == TaskPhase::kWaiting && task.run == 0 && task.checkpoint.empty();
  if (untouched) {
    return nullptr;
  }
  if (task.phase == TaskPhase::kDone) {
    return task.run;
  }
  Json row = Json::array({static_cast<int>(task.phase), task.run, task.failures, task.checkpoint});
  if (task.HoldsResources()) {
    row.push_back(targets->IndexOf(task.incarnation));
    if (task.done_run != 0) {
      row.push_back(task.done_run);
    }
  } else if (!task.open_start_at.empty()) {
    row.push_back(targets->IndexOf(TargetIncarnation{task.open_start_at, 0, ""}));
  }
  return row;
}

Task TaskFromJson(const Json& row, const Json& targets) {
  Task task;
  if (row.is_null()) {
    return task;
  }
  if (row.is_number()) {
    task.phase = TaskPhase::kDone;
    task.run = row.get<RunNumber>();
    return task;
  }
  task.phase = static_cast<TaskPhase>(row.at(0).get<int>());
  task.run = row.at(1).get<RunNumber>();
  task.failures = row.at(2).get<std::uint32_t>();
  task.checkpoint = row.at(3).get<std::string>();
  CheckUtf8(task.checkpoint);
  if (row.size() > 4) {
    const Json& incarnation = targets.at(row.at(4).get<std::size_t>());
    if (!task.HoldsResources()) {
      task.open_start_at = TargetId(incarnation.at(0).get<std::string>());
      return task;
    }
    task.incarnation = {TargetId(incarnation.at(0).get<std::string>()),
                        incarnation.at(1).get<std::uint64_t>(),
                        incarnation.size() > 2 ? incarnation.at(2).get<std::string>() : ""};
  }
  task.done_run = row.size() > 5 ? row.at(5).get<RunNumber>() : 0;
  return task;
}

/// Adds the occurrence in \a row to \a submission.
void ReadOccurrence(const Json& row, const Json& targets, Submission* submission) {
  const auto number = row.at(0).get<std::uint32_t>();
  submission->AddOccurrence(number);
  Occurrence& occurrence = submission->occurrences.at(number);
  const Json& steps = row.at(1);
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    StepProgress& progress = occurrence.steps[step];
    progress.waiting = 0;
    for (std::size_t index = 0; index < progress.tasks.size(); ++index) {
      Task& task = progress.tasks[index];
      task = TaskFromJson(steps.at(step).at(index), targets);
      // Earlier versions counted a long-running task as done once one of its runs had ended so.
      const bool runs_on = submission->Step(static_cast<std::uint32_t>(step)).long_running &&
                           !submission->ended_at.has_value();
      if (task.phase == TaskPhase::kDone && runs_on) {
        task.phase = TaskPhase::kWaiting;
      }
      progress.done += task.phase == TaskPhase::kDone ? 1 : 0;
      progress.waiting += task.phase == TaskPhase::kWaiting ? 1 : 0;
    }
  }
}

/// Reads the crash record of one task.
void ReadSuspect(const Json& row, Submission* submission) {
  Task* task =
      submission->FindTask(TaskKey{submission->accepted.id, row.at(0).get<std::uint32_t>(),
                                   row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>()});
  if (task != nullptr) {
    task->crash_record = CrashRecord{row.at(3).get<std::uint32_t>(), row.at(4).get<std::uint32_t>(),
                                     true, row.at(5).get<bool>()};
  }
}

/// Reads all elements of a progress record but the first, which is the submission's state.
void ReadProgress(const Json& row, Submission* submission) {
  submission->cancelled = row.at(1).get<bool>();
  submission->failed = row.at(2).get<bool>();
  submission->started = row.at(3).get<bool>();
  if (!row.at(4).is_null()) {
    submission->ended_at = WallTime(row.at(4).get<std::int64_t>());
  }
  for (const Json& occurrence : row.at(6)) {
    ReadOccurrence(occurrence, row.at(5), submission);
  }
  // Records of earlier versions end here.
  submission->begun = row.size() > 7 ? row.at(7).get<bool>() : submission->started;
  if (row.size() > 8) {
    for (const Json& suspect : row.at(8)) {
      ReadSuspect(suspect, submission);
    }
  }
}

}  // namespace internal

std::string EncodeAccepted(const AcceptedSubmission& accepted) {
  internal::Json steps = internal::Json::array();
  for (const StepSpec& step : accepted.spec.steps) {
    steps.push_back(internal::StepToJson(step));
  }
  internal::Json record = internal::Json::array(
      {accepted.id.str(), internal::QueueToJson(accepted.queue), accepted.accepted_at.count(),
       accepted.spec.payload, accepted.spec.repeat_count, accepted.spec.start_at.count(),
       accepted.spec.interval.count(), steps, accepted.moves});
  if (!accepted.progress.empty()) {
    record.push_back(accepted.progress);
  }
  return ToCborBytes(record);
}

std::optional<AcceptedSubmission> DecodeAccepted(const std::string& bytes) {
  const auto json = ReadBoundedCbor<internal::Json>(bytes);
  if (!json) {
    return std::nullopt;
  }
  try {
    const AcceptedSubmission accepted = internal::AcceptedFromJson(*json);
    return IsWithinLimits(accepted.spec) ? std::optional<AcceptedSubmission>(accepted)
                                         : std::nullopt;
  } catch (const internal::Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeProgress(const Submission& submission) {
  internal::IncarnationTable targets;
  internal::Json occurrences = internal::Json::array();
  internal::Json suspects = internal::Json::array();
  for (const auto& [number, occurrence] : submission.occurrences) {
    internal::Json steps = internal::Json::array();
    for (const StepProgress& step : occurrence.steps) {
      internal::Json tasks = internal::Json::array();
      for (const Task& task : step.tasks) {
        tasks.push_back(internal::TaskToJson(task, &targets));
      }
      steps.push_back(std::move(tasks));
    }
    occurrences.push_back(internal::Json::array({number, std::move(steps)}));
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        const CrashRecord& record = tasks[index].crash_record;
        if (record.suspect && tasks[index].phase != TaskPhase::kDone) {
          suspects.push_back(internal::Json::array(
              {number, step, index, record.crashes, record.losses, record.isolated}));
        }
      }
    }
  }
  internal::Json ended = nullptr;
  if (submission.ended_at) {
    ended = submission.ended_at->count();
  }
  internal::Json record = internal::Json::array(
      {static_cast<int>(submission.State()), submission.cancelled, submission.failed,
       submission.started, ended, targets.json(), std::move(occurrences), submission.begun});
  if (!suspects.empty()) {
    record.push_back(std::move(suspects));
  }
  return ToCborBytes(record);
}

bool DecodeProgress(const std::string& bytes, Submission* submission) {
  const auto json = ReadBoundedCbor<internal::Json>(bytes);
  if (!json) {
    return false;
  }
  Submission read;
  read.accepted = submission->accepted;
  try {
    internal::ReadProgress(*json, &read);
  } catch (const internal::Json::exception&) {
    return false;
  }
  *submission = std::move(read);
  return true;
}

std::optional<SubmissionState> DecodeState(const std::string& bytes) {
  const auto json = ReadBoundedCbor<internal::Json>(bytes);
  const bool readable = json && json->is_array() && !json->empty() && json->front().is_number();
  if (!readable) {
    return std::nullopt;
  }
  const int state = json->front().get<int>();
  const bool known = state >= 0 && state <= static_cast<int>(SubmissionState::kCancelled);
  return known ? std::optional<SubmissionState>(static_cast<SubmissionState>(state)) : std::nullopt;
}

}  // namespace pistachio

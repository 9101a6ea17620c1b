#include <algorithm>
#include <cmath>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

constexpr double kMillisPerCore = 1000.0;
/// Share of the processors of all batch work that each kind of it can count on at least.
constexpr double kMinBatchShare = 0.1;
/// Time from the stop of a run to the start of the next one, at the least.
constexpr std::chrono::milliseconds kRestartTime{1000};

/// Time for which the estimate of a submission's work is used. Computing it anew in each scheduling
/// round would take several percent of an owner's processor in a burst.
constexpr Duration kEstimateLifetime = std::chrono::milliseconds(500);

double CoreSeconds(const StepSpec& spec, Duration usual) {
  return static_cast<double>(spec.need.cpu_millis) / kMillisPerCore *
         std::chrono::duration<double>(usual).count();
}

std::chrono::milliseconds Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace internal

const WorkEstimate& Cell::EstimateOf(Submission* submission) {
  WorkEstimate& estimate = submission->estimate;
  if (this->last_schedule_at < estimate.valid_until &&
      estimate.configuration_version == this->configuration->version) {
    return estimate;
  }
  const SubmissionSpec& spec = submission->accepted.spec;
  const QueueId& queue = submission->accepted.queue.id;
  const std::vector<Duration> usual = this->UsualDurations(*submission);
  const Duration objective = ObjectiveOf(this->QueueOf(*submission), CriticalPath(spec, usual));
  estimate = WorkEstimate{};
  estimate.valid_until = this->last_schedule_at + internal::kEstimateLifetime;
  estimate.configuration_version = this->configuration->version;
  estimate.objective = internal::Milliseconds(objective);
  estimate.hard_deadline = internal::Milliseconds(std::chrono::duration_cast<Duration>(
      estimate.objective * this->settings.hard_deadline_factor));
  for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
    estimate.remaining.push_back(internal::Milliseconds(RemainingCriticalPath(spec, step, usual)));
    estimate.task_core_seconds.push_back(
        spec.steps[step].long_running ? 0.0 : internal::CoreSeconds(spec.steps[step], usual[step]));
    estimate.core_seconds += estimate.task_core_seconds.back() * spec.steps[step].count;
  }
  estimate.value = this->service_shares.ValueOf(queue, estimate.core_seconds);
  estimate.favoured = this->service_shares.IsFavoured(queue, estimate.core_seconds);
  estimate.last_chance = this->LastChances(*submission);
  return estimate;
}

std::vector<std::chrono::milliseconds> Cell::LastChances(const Submission& submission) const {
  const SubmissionSpec& spec = submission.accepted.spec;
  std::vector<std::chrono::milliseconds> last;
  for (const double sign : {-1.0, 1.0}) {
    const double deviations = sign * this->settings.durations.quantile_deviations;
    std::vector<Duration> durations;
    durations.reserve(spec.steps.size());
    for (std::uint32_t at = 0; at < spec.steps.size(); ++at) {
      const LearnedDuration learned = this->LearnedOf(submission, at);
      if (!learned.learned) {
        return {};
      }
      durations.push_back(learned.Quantile(spec.steps[at].estimate, deviations));
    }
    // Callers count their objective from the real work, which is longer where the rest is.
    const Duration objective =
        ObjectiveOf(this->QueueOf(submission), CriticalPath(spec, durations));
    const auto deadline = internal::Milliseconds(
        std::chrono::duration_cast<Duration>(objective * this->settings.hard_deadline_factor));
    last.resize(spec.steps.size(), std::chrono::milliseconds::min());
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      last[step] =
          std::max(last[step],
                   deadline - internal::Milliseconds(RemainingCriticalPath(spec, step, durations)));
    }
  }
  return last;
}

void Cell::ObserveSize(Submission* submission) {
  const double work = this->EstimateOf(submission).core_seconds;
  if (work > 0.0) {
    this->service_shares.Observe(submission->accepted.queue.id, work);
  }
}

void Cell::RecordServed(Submission* submission, bool in_time) {
  if (submission->outcome_recorded || submission->accepted.spec.repeat_count > 0) {
    return;
  }
  submission->outcome_recorded = true;
  const double work = this->EstimateOf(submission).core_seconds;
  if (work > 0.0) {
    this->service_shares.RecordOutcome(submission->accepted.queue.id, work, in_time);
  }
}

WaitingStep Cell::DescribeWork(Submission* submission, std::uint32_t occurrence,
                               std::uint32_t step) {
  const SubmissionSpec& spec = submission->accepted.spec;
  const WorkEstimate& estimate = this->EstimateOf(submission);
  const WallTime start = spec.repeat_count > 0 ? spec.start_at + spec.interval * occurrence
                                               : submission->accepted.accepted_at;
  WaitingStep work;
  work.priority = this->QueueOf(*submission).priority;
  work.long_running = spec.steps[step].long_running;
  work.due = start + estimate.objective;
  work.hard_deadline = start + estimate.hard_deadline;
  work.remaining = estimate.remaining[step];
  if (!this->scarce || work.long_running) {
    return work;
  }
  if (!estimate.last_chance.empty()) {
    work.last_chance = start + estimate.last_chance[step];
  }
  const auto progress = submission->occurrences.find(occurrence);
  for (std::uint32_t at = 0; at < spec.steps.size(); ++at) {
    double tasks = spec.steps[at].count;
    if (progress != submission->occurrences.end()) {
      // Running tasks have half of their work left on average.
      constexpr double kLeftOfRunning = 0.5;
      const StepProgress& done = progress->second.steps[at];
      const double waiting = done.waiting;
      tasks = waiting + kLeftOfRunning * (tasks - waiting - static_cast<double>(done.done));
    }
    work.core_seconds_left += estimate.task_core_seconds[at] * tasks;
  }
  work.value = estimate.value;
  work.favoured = estimate.favoured;
  work.chosen = submission->chosen;
  return work;
}

void Cell::ChooseWork(std::vector<PendingStep>* pending_steps) {
  this->waiting_profile = WaitingProfile{};
  // Best-effort tasks use other processors than those that are counted for the rest.
  for (const bool best_effort : {false, true}) {
    std::vector<PendingStep*> chosen_from;
    std::vector<DelayedWork*> works;
    const Submission* last = nullptr;
    for (PendingStep& pending : *pending_steps) {
      const bool same_kind = pending.submission->Step(pending.step).best_effort == best_effort;
      // Steps of one submission that wait together are chosen together.
      if (!same_kind || pending.sort_key.long_running || pending.submission == last) {
        continue;
      }
      last = pending.submission;
      chosen_from.push_back(&pending);
      works.push_back(&pending.sort_key);
      this->waiting_profile.Add(pending.sort_key, this->wall_time);
    }
    const double all = this->BatchCpu();
    const double in_use = best_effort ? this->best_effort_in_use : this->batch_in_use;
    ChooseInTime(works, std::max(in_use, internal::kMinBatchShare * all) / internal::kMillisPerCore,
                 this->wall_time);
    for (PendingStep* pending : chosen_from) {
      pending->submission->chosen = pending->sort_key.chosen;
    }
  }
  for (PendingStep& pending : *pending_steps) {
    pending.sort_key.chosen = pending.submission->chosen;
    pending.rank = RankOf(pending.sort_key, this->wall_time);
  }
}

bool Cell::IsHeldBack(const PendingStep& pending, const std::vector<UnplacedWork>& unplaced) {
  if (!this->scarce || !IsSetAside(pending.sort_key, this->wall_time)) {
    return false;
  }
  const bool best_effort = pending.submission->Step(pending.step).best_effort;
  const ServiceId service = this->ServiceOf(*pending.submission);
  const auto preferred =
      std::find_if(unplaced.begin(), unplaced.end(), [&](const UnplacedWork& work) {
        return work.best_effort == best_effort && work.service == service;
      });
  if (preferred == unplaced.end()) {
    return false;
  }
  this->LogDelayed(pending, "set-aside", preferred->submission);
  return true;
}

bool Cell::FitsEmptyTarget(const PendingStep& pending) const {
  const StepSpec& spec = pending.submission->Step(pending.step);
  const ServiceId service = this->ServiceOf(*pending.submission);
  const Resources need = internal::CountedResources(spec);
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& row) {
    const TargetEntry& entry = row.second.entry;
    const bool has_label =
        spec.required_label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                                 spec.required_label) != entry.labels.end();
    return this->IsReady(row.second) && entry.service == service && has_label &&
           need.FitsIn(entry.capacity);
  });
}

void Cell::NoteUnplaced(const PendingStep& pending, std::vector<UnplacedWork>* unplaced,
                        TimePoint now) {
  // Work that no target could take even if it were empty says nothing about scarce room.
  if (this->blocked_by_harm || !this->FitsEmptyTarget(pending)) {
    return;
  }
  this->unplaced_at = now;
  if (pending.sort_key.long_running || IsSetAside(pending.sort_key, this->wall_time)) {
    return;
  }
  const bool best_effort = pending.submission->Step(pending.step).best_effort;
  const ServiceId service = this->ServiceOf(*pending.submission);
  const auto first = std::find_if(unplaced->begin(), unplaced->end(), [&](const auto& work) {
    return work.best_effort == best_effort && work.service == service;
  });
  if (first == unplaced->end()) {
    unplaced->push_back({service, best_effort, pending.submission->accepted.id});
  } else if (this->scarce && !pending.sort_key.chosen) {
    this->LogDelayed(pending, "given-up", first->submission);
  }
}

void Cell::LogDelayed(const PendingStep& pending, const char* reason,
                      const SubmissionId& preferred) {
  Submission& submission = *pending.submission;
  const bool set_aside = IsSetAside(pending.sort_key, this->wall_time);
  bool& logged = set_aside ? submission.set_aside_logged : submission.given_up_logged;
  if (logged) {
    return;
  }
  logged = true;
  (set_aside ? this->counts.set_aside : this->counts.given_up)++;
  const DelayedWork& work = pending.sort_key;
  this->Log(EventCode::kWorkDelayed,
            {{"submission", submission.accepted.id.str()},
             {"step", std::to_string(pending.step)},
             {"reason", reason},
             {"preferred", preferred.str()},
             {"prospect", NameOf(ProspectOf(work, this->wall_time))},
             {"value", std::to_string(work.value)},
             {"core-ms-left", std::to_string(std::llround(work.core_seconds_left * 1000.0))},
             {"remaining-ms", std::to_string(work.remaining.count())},
             {"due-in-ms", std::to_string((work.due - this->wall_time).count())},
             {"worthless-in-ms", std::to_string((work.hard_deadline - this->wall_time).count())}});
}

double Cell::LossOfStop(Submission* submission, const TaskKey& key, const Task& task,
                        Duration lost) {
  if (!this->scarce) {
    return 0.0;
  }
  constexpr double kFullPercent = 100.0;
  const Duration usual =
      this->LearnedOf(*submission, key.step).Usual(submission->Step(key.step).estimate);
  DelayedWork work = this->DescribeWork(submission, key.occurrence, key.step);
  work.remaining -= internal::Milliseconds(
      std::chrono::duration_cast<Duration>(usual * (task.percent / kFullPercent)));
  return LossOfDelay(work, internal::Milliseconds(lost) + internal::kRestartTime, this->wall_time,
                     this->settings.delay);
}

}  // namespace pistachio

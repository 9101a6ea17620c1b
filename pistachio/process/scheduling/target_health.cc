#include "pistachio/process/scheduling/target_health.h"

#include <algorithm>

namespace pistachio {

void TargetHealth::OnDone() {
  this->failed_submissions.clear();
  this->is_suspect = false;
  this->probes = 0;
}

bool TargetHealth::OnFailed(const SubmissionId& submission, TimePoint now,
                            const TargetHealthSettings& settings) {
  this->failed_submissions.insert(submission);
  this->probes = 0;
  if (this->failed_submissions.size() < settings.failed_submissions_to_suspect) {
    return false;
  }
  const bool was_suspect = this->is_suspect;
  this->is_suspect = true;
  this->no_work_until = std::max(this->no_work_until, now + settings.quarantine);
  return !was_suspect;
}

void TargetHealth::OnRejectedUnhealthy(TimePoint now, const TargetHealthSettings& settings) {
  this->no_work_until = std::max(this->no_work_until, now + settings.unhealthy_pause);
}

void TargetHealth::OnAssigned(TimePoint now, const TargetHealthSettings& settings) {
  if (!this->is_suspect) {
    return;
  }
  if (this->probes >= settings.probes_to_trust) {
    this->OnDone();
    return;
  }
  this->probes++;
  this->no_work_until = now + settings.probe_interval;
}

}  // namespace pistachio

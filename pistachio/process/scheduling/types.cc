#include "pistachio/process/scheduling/types.h"

#include <charconv>

namespace pistachio {

namespace internal {

/// Parses a decimal number at position \a at and advances \a at past it.
/// \returns nothing if there is no number or it does not fit into 32 bits.
std::optional<std::uint32_t> ReadNumber(const std::string& text, std::size_t* at) {
  std::uint32_t number = 0;
  const char* begin = text.data() + *at;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || stop == begin) {
    return std::nullopt;
  }
  *at = static_cast<std::size_t>(stop - text.data());
  return number;
}

bool IsPrefixOf(const std::string& prefix, const std::string& text) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace internal

std::string MillisecondsText(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string TaskKey::str() const {
  return this->submission.str() + "." + std::to_string(this->occurrence) + "." +
         std::to_string(this->step) + "." + std::to_string(this->index);
}

std::optional<TaskKey> ParseTaskKey(const std::string& text) {
  std::size_t at = text.find('.');
  if (at == std::string::npos) {
    return std::nullopt;
  }
  TaskKey key;
  key.submission = SubmissionId(text.substr(0, at));
  for (std::uint32_t* part : {&key.occurrence, &key.step, &key.index}) {
    if (at >= text.size() || text[at] != '.') {
      return std::nullopt;
    }
    at++;
    const auto number = internal::ReadNumber(text, &at);
    if (!number) {
      return std::nullopt;
    }
    *part = *number;
  }
  return at == text.size() ? std::optional<TaskKey>(key) : std::nullopt;
}

std::string ForwardedEnd::str() const { return this->task.str() + "." + std::to_string(this->run); }

std::optional<ForwardedEnd> ParseForwardedEnd(const std::string& text) {
  const std::size_t last_dot = text.rfind('.');
  if (last_dot == std::string::npos) {
    return std::nullopt;
  }
  const auto task = ParseTaskKey(text.substr(0, last_dot));
  std::size_t at = last_dot + 1;
  const auto run = internal::ReadNumber(text, &at);
  const bool complete = task && run && at == text.size();
  return complete ? std::optional<ForwardedEnd>({*task, *run}) : std::nullopt;
}

double DeclaredCoreSeconds(const StepSpec& step) {
  constexpr double kMillicoresPerCore = 1000.0;
  return step.long_running ? 0.0
                           : static_cast<double>(step.need.cpu_millis) / kMillicoresPerCore *
                                 std::chrono::duration<double>(step.estimate).count();
}

const QueueSettings* Configuration::MatchQueue(const std::string& host,
                                               const std::string& path) const {
  const QueueSettings* best = nullptr;
  for (const QueueSettings& queue : this->queues) {
    const bool matches = queue.host == host && internal::IsPrefixOf(queue.path_prefix, path);
    if (matches && (best == nullptr || best->path_prefix.size() < queue.path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueSettings* Configuration::FindQueue(const QueueId& id) const {
  for (const QueueSettings& queue : this->queues) {
    if (queue.id == id) {
      return &queue;
    }
  }
  return nullptr;
}

const char* NameOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangBroken:
      return "broken";
    case RunOutcome::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

const char* NameOf(OrderStatus status) {
  switch (status) {
    case OrderStatus::kDone:
      return "done";
    case OrderStatus::kFenced:
      return "fenced";
    case OrderStatus::kSuperseded:
      return "old";
    case OrderStatus::kDeadlinePassed:
      return "late";
    case OrderStatus::kNoCapacity:
      return "no-room";
    case OrderStatus::kBadTicket:
      return "bad-ticket";
    case OrderStatus::kUnhealthy:
      return "unhealthy";
    case OrderStatus::kWrongInstance:
      return "other-life";
    case OrderStatus::kRejected:
      return "rejected";
    case OrderStatus::kNoAnswer:
      return "no-answer";
  }
  return "unknown";
}

const char* NameOf(SubmissionState state) {
  switch (state) {
    case SubmissionState::kQueued:
      return "queued";
    case SubmissionState::kRunning:
      return "running";
    case SubmissionState::kCompleted:
      return "completed";
    case SubmissionState::kFailed:
      return "failed";
    case SubmissionState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace pistachio

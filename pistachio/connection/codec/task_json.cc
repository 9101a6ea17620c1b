#include "pistachio/connection/codec/task_json.h"

namespace pistachio {

using json = WireJson;

namespace internal {

struct CommandWriter {
  json& out;

  void operator()(const StartCommand& command) const {
    this->out = {{"type", "start"},
                 {"task", command.task},
                 {"attempt", command.attempt},
                 {"spec", command.spec},
                 {"checkpoint", command.checkpoint},
                 {"lease_term", command.lease_term.count()}};
  }
  void operator()(const RenewCommand& command) const {
    this->out = {
        {"type", "renew"}, {"tasks", command.tasks}, {"lease_term", command.lease_term.count()}};
  }
  void operator()(const StopCommand& command) const { this->Write("stop", command); }
  void operator()(const CheckpointCommand& command) const { this->Write("checkpoint", command); }
  void operator()(const ForgetCommand& command) const { this->Write("forget", command); }
  void operator()(const ThrottleCommand& command) const {
    this->Write("throttle", command);
    this->out["throttle"] = command.throttle;
  }

 private:
  template <class Command>
  void Write(const char* type, const Command& command) const {
    this->out = {{"type", type}, {"task", command.task}, {"attempt", command.attempt}};
  }
};

template <class Command>
Command ReadTaskAndAttempt(const json& in) {
  Command command;
  in.at("task").get_to(command.task);
  in.at("attempt").get_to(command.attempt);
  return command;
}

StartCommand ReadStart(const json& in) {
  auto command = ReadTaskAndAttempt<StartCommand>(in);
  in.at("spec").get_to(command.spec);
  in.at("checkpoint").get_to(command.checkpoint);
  command.lease_term = internal::ReadDuration(in.at("lease_term"));
  return command;
}

RenewCommand ReadRenew(const json& in) {
  RenewCommand command;
  in.at("tasks").get_to(command.tasks);
  command.lease_term = internal::ReadDuration(in.at("lease_term"));
  return command;
}

ThrottleCommand ReadThrottle(const json& in) {
  auto command = ReadTaskAndAttempt<ThrottleCommand>(in);
  in.at("throttle").get_to(command.throttle);
  return command;
}

TargetCommand ReadCommand(const json& in) {
  const auto type = in.at("type").get<std::string>();
  if (type == "start") {
    return ReadStart(in);
  }
  if (type == "renew") {
    return ReadRenew(in);
  }
  if (type == "stop") {
    return ReadTaskAndAttempt<StopCommand>(in);
  }
  if (type == "checkpoint") {
    return ReadTaskAndAttempt<CheckpointCommand>(in);
  }
  if (type == "throttle") {
    return ReadThrottle(in);
  }
  if (type == "forget") {
    return ReadTaskAndAttempt<ForgetCommand>(in);
  }
  constexpr int kUnknownType = 502;
  throw json::other_error::create(kUnknownType, "unknown command " + type, &in);
}

}  // namespace internal

void to_json(json& out, const TaskId& id) { out = json::array({id.job, id.index}); }

void from_json(const json& in, TaskId& id) {
  in.at(0).get_to(id.job);
  in.at(1).get_to(id.index);
}

void to_json(json& out, const Resources& resources) {
  out = json::array({resources.cpu_millis, resources.memory_mib, resources.accelerators});
}

void from_json(const json& in, Resources& resources) {
  in.at(0).get_to(resources.cpu_millis);
  in.at(1).get_to(resources.memory_mib);
  in.at(2).get_to(resources.accelerators);
}

void to_json(json& out, const JobSpec& spec) {
  out = {{"job", spec.job},
         {"team", spec.team},
         {"kind", static_cast<int>(spec.kind)},
         {"service", spec.service},
         {"work_class", spec.work_class},
         {"priority", spec.priority},
         {"count", spec.count},
         {"declared", spec.declared},
         {"expected_run", spec.expected_run.count()},
         {"max_attempts", spec.max_attempts},
         {"max_per_rack", spec.max_per_rack},
         {"only_in_racks", spec.only_in_racks}};
}

void from_json(const json& in, JobSpec& spec) {
  in.at("job").get_to(spec.job);
  in.at("team").get_to(spec.team);
  spec.kind = internal::ReadEnum(in.at("kind"), WorkKind::kBatch);
  in.at("service").get_to(spec.service);
  in.at("work_class").get_to(spec.work_class);
  in.at("priority").get_to(spec.priority);
  in.at("count").get_to(spec.count);
  in.at("declared").get_to(spec.declared);
  spec.expected_run = internal::ReadDuration(in.at("expected_run"));
  in.at("max_attempts").get_to(spec.max_attempts);
  in.at("max_per_rack").get_to(spec.max_per_rack);
  in.at("only_in_racks").get_to(spec.only_in_racks);
}

void to_json(json& out, const TaskAssignment& assignment) {
  out = {{"task", assignment.task},
         {"attempt", assignment.attempt},
         {"queue", assignment.queue},
         {"rack", assignment.rack},
         {"spec", assignment.spec},
         {"checkpoint", assignment.checkpoint},
         {"avoid", assignment.avoid_targets},
         {"serial", assignment.serial},
         {"settled_below", assignment.settled_below}};
}

void from_json(const json& in, TaskAssignment& assignment) {
  in.at("task").get_to(assignment.task);
  in.at("attempt").get_to(assignment.attempt);
  in.at("queue").get_to(assignment.queue);
  in.at("rack").get_to(assignment.rack);
  in.at("spec").get_to(assignment.spec);
  in.at("checkpoint").get_to(assignment.checkpoint);
  in.at("avoid").get_to(assignment.avoid_targets);
  in.at("serial").get_to(assignment.serial);
  in.at("settled_below").get_to(assignment.settled_below);
}

void to_json(json& out, const AttemptEnd& end) {
  out = {{"task", end.task},
         {"attempt", end.attempt},
         {"outcome", static_cast<int>(end.outcome)},
         {"checkpoint", end.checkpoint},
         {"target", end.target},
         {"reason", end.reason},
         {"rack", end.rack},
         {"serial", end.serial}};
}

void from_json(const json& in, AttemptEnd& end) {
  in.at("task").get_to(end.task);
  in.at("attempt").get_to(end.attempt);
  end.outcome = internal::ReadEnum(in.at("outcome"), AttemptOutcome::kCancelled);
  in.at("checkpoint").get_to(end.checkpoint);
  in.at("target").get_to(end.target);
  in.at("reason").get_to(end.reason);
  in.at("rack").get_to(end.rack);
  in.at("serial").get_to(end.serial);
}

void to_json(json& out, const RackRoom& room) {
  out = {{"rack", room.rack},
         {"free", room.free},
         {"capacity", room.capacity},
         {"preemptible", room.preemptible}};
}

void from_json(const json& in, RackRoom& room) {
  in.at("rack").get_to(room.rack);
  in.at("free").get_to(room.free);
  in.at("capacity").get_to(room.capacity);
  in.at("preemptible").get_to(room.preemptible);
}

void to_json(json& out, const WithdrawalReceived& withdrawal) {
  out = {{"task", withdrawal.task},           {"attempt", withdrawal.attempt},
         {"cancelled", withdrawal.cancelled}, {"queue", withdrawal.queue},
         {"serial", withdrawal.serial},       {"settled_below", withdrawal.settled_below}};
}

void from_json(const json& in, WithdrawalReceived& withdrawal) {
  in.at("task").get_to(withdrawal.task);
  in.at("attempt").get_to(withdrawal.attempt);
  in.at("cancelled").get_to(withdrawal.cancelled);
  in.at("queue").get_to(withdrawal.queue);
  in.at("serial").get_to(withdrawal.serial);
  in.at("settled_below").get_to(withdrawal.settled_below);
}

void to_json(json& out, const EndAcknowledged& acknowledged) {
  out = {{"task", acknowledged.task},
         {"attempt", acknowledged.attempt},
         {"queue", acknowledged.queue},
         {"settled_below", acknowledged.settled_below}};
}

void from_json(const json& in, EndAcknowledged& acknowledged) {
  in.at("task").get_to(acknowledged.task);
  in.at("attempt").get_to(acknowledged.attempt);
  in.at("queue").get_to(acknowledged.queue);
  in.at("settled_below").get_to(acknowledged.settled_below);
}

void to_json(json& out, const FencedCommand& command) {
  std::visit(internal::CommandWriter{out}, command.command);
  out["epoch"] = command.epoch;
}

void from_json(const json& in, FencedCommand& command) {
  in.at("epoch").get_to(command.epoch);
  command.command = internal::ReadCommand(in);
}

void to_json(json& out, const TargetTask& task) {
  out = {{"task", task.task},
         {"attempt", task.attempt},
         {"state", static_cast<int>(task.state)},
         {"checkpoint", task.checkpoint},
         {"used", task.used},
         {"latency_ratio", task.latency_ratio},
         {"progress_rate", task.progress_rate},
         {"reason", task.reason}};
}

void from_json(const json& in, TargetTask& task) {
  in.at("task").get_to(task.task);
  in.at("attempt").get_to(task.attempt);
  task.state = internal::ReadEnum(in.at("state"), TargetTaskState::kStopped);
  in.at("checkpoint").get_to(task.checkpoint);
  in.at("used").get_to(task.used);
  in.at("latency_ratio").get_to(task.latency_ratio);
  in.at("progress_rate").get_to(task.progress_rate);
  in.at("reason").get_to(task.reason);
}

void to_json(json& out, const TargetReport& report) {
  out = {{"target", report.target}, {"boot", report.boot},       {"capacity", report.capacity},
         {"load", report.load},     {"age", report.age.count()}, {"tasks", report.tasks}};
}

void from_json(const json& in, TargetReport& report) {
  in.at("target").get_to(report.target);
  in.at("boot").get_to(report.boot);
  in.at("capacity").get_to(report.capacity);
  in.at("load").get_to(report.load);
  report.age = internal::ReadDuration(in.at("age"));
  in.at("tasks").get_to(report.tasks);
}

void to_json(json& out, const CommandAnswer& answer) {
  out = {{"status", static_cast<int>(answer.status)},
         {"reason", answer.reason},
         {"checkpoint", answer.checkpoint}};
  if (answer.report) {
    out["report"] = *answer.report;
  }
}

void from_json(const json& in, CommandAnswer& answer) {
  answer.status = internal::ReadEnum(in.at("status"), CommandStatus::kUnknown);
  in.at("reason").get_to(answer.reason);
  in.at("checkpoint").get_to(answer.checkpoint);
  if (in.contains("report")) {
    answer.report = in.at("report").get<TargetReport>();
  }
}

void to_json(json& out, const TargetListing& listing) {
  out = {{"target", listing.target},           {"rack", listing.rack},
         {"data_centre", listing.data_centre}, {"address", listing.address},
         {"capacity", listing.capacity},       {"slots", listing.slots},
         {"connections", listing.connections}, {"standing", static_cast<int>(listing.standing)}};
}

void from_json(const json& in, TargetListing& listing) {
  in.at("target").get_to(listing.target);
  in.at("rack").get_to(listing.rack);
  in.at("data_centre").get_to(listing.data_centre);
  in.at("address").get_to(listing.address);
  in.at("capacity").get_to(listing.capacity);
  in.at("slots").get_to(listing.slots);
  in.at("connections").get_to(listing.connections);
  listing.standing = internal::ReadEnum(in.at("standing"), TargetStanding::kGone);
}

}  // namespace pistachio

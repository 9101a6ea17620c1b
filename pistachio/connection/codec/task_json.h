#pragma once

#include <nlohmann/json.hpp>

#include "pistachio/connection/codec/json_support.h"
#include "pistachio/process/tasks/job_queue.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio {

/// \brief A command with the epoch it is sent under.
struct FencedCommand {
  Epoch epoch = 0;
  TargetCommand command;
};

// Read with FromJson<T>; write by assigning to a WireJson.

void to_json(WireJson& out, const TaskId& id);
void from_json(const WireJson& in, TaskId& id);
void to_json(WireJson& out, const Resources& resources);
void from_json(const WireJson& in, Resources& resources);
void to_json(WireJson& out, const JobSpec& spec);
void from_json(const WireJson& in, JobSpec& spec);
void to_json(WireJson& out, const TaskAssignment& assignment);
void from_json(const WireJson& in, TaskAssignment& assignment);
void to_json(WireJson& out, const AttemptEnd& end);
void from_json(const WireJson& in, AttemptEnd& end);
void to_json(WireJson& out, const RackRoom& room);
void from_json(const WireJson& in, RackRoom& room);
void to_json(WireJson& out, const WithdrawalReceived& withdrawal);
void from_json(const WireJson& in, WithdrawalReceived& withdrawal);
void to_json(WireJson& out, const EndAcknowledged& acknowledged);
void from_json(const WireJson& in, EndAcknowledged& acknowledged);
void to_json(WireJson& out, const FencedCommand& command);
void from_json(const WireJson& in, FencedCommand& command);
void to_json(WireJson& out, const TargetTask& task);
void from_json(const WireJson& in, TargetTask& task);
void to_json(WireJson& out, const TargetReport& report);
void from_json(const WireJson& in, TargetReport& report);
void to_json(WireJson& out, const CommandAnswer& answer);
void from_json(const WireJson& in, CommandAnswer& answer);
void to_json(WireJson& out, const TargetListing& listing);
void from_json(const WireJson& in, TargetListing& listing);

}  // namespace pistachio

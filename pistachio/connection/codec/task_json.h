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

// Read with FromJson<T>; write by assigning to a nlohmann::json.

void to_json(nlohmann::json& out, const TaskId& id);
void from_json(const nlohmann::json& in, TaskId& id);
void to_json(nlohmann::json& out, const Resources& resources);
void from_json(const nlohmann::json& in, Resources& resources);
void to_json(nlohmann::json& out, const JobSpec& spec);
void from_json(const nlohmann::json& in, JobSpec& spec);
void to_json(nlohmann::json& out, const TaskAssignment& assignment);
void from_json(const nlohmann::json& in, TaskAssignment& assignment);
void to_json(nlohmann::json& out, const AttemptEnd& end);
void from_json(const nlohmann::json& in, AttemptEnd& end);
void to_json(nlohmann::json& out, const RackRoom& room);
void from_json(const nlohmann::json& in, RackRoom& room);
void to_json(nlohmann::json& out, const WithdrawalReceived& withdrawal);
void from_json(const nlohmann::json& in, WithdrawalReceived& withdrawal);
void to_json(nlohmann::json& out, const EndAcknowledged& acknowledged);
void from_json(const nlohmann::json& in, EndAcknowledged& acknowledged);
void to_json(nlohmann::json& out, const FencedCommand& command);
void from_json(const nlohmann::json& in, FencedCommand& command);
void to_json(nlohmann::json& out, const TargetTask& task);
void from_json(const nlohmann::json& in, TargetTask& task);
void to_json(nlohmann::json& out, const TargetReport& report);
void from_json(const nlohmann::json& in, TargetReport& report);
void to_json(nlohmann::json& out, const CommandAnswer& answer);
void from_json(const nlohmann::json& in, CommandAnswer& answer);
void to_json(nlohmann::json& out, const TargetListing& listing);
void from_json(const nlohmann::json& in, TargetListing& listing);

}  // namespace pistachio

#pragma once

#include <nlohmann/json.hpp>

#include "pistachio/connection/codec/json_support.h"
#include "pistachio/connection/store/calls.h"

namespace pistachio {

// The key-value service's JSON; values travel in base64, since they need not be text.

void to_json(nlohmann::json& out, const StoreCall& call);
void from_json(const nlohmann::json& in, StoreCall& call);
void to_json(nlohmann::json& out, const StoreReply& reply);
void from_json(const nlohmann::json& in, StoreReply& reply);

}  // namespace pistachio

#pragma once

#include <nlohmann/json.hpp>

#include "pistachio/connection/codec/json_support.h"
#include "pistachio/connection/store/calls.h"

namespace pistachio {

// The key-value service's JSON; values travel in base64, since they need not be text.

void to_json(WireJson& out, const StoreCall& call);
void from_json(const WireJson& in, StoreCall& call);
void to_json(WireJson& out, const StoreReply& reply);
void from_json(const WireJson& in, StoreReply& reply);

}  // namespace pistachio

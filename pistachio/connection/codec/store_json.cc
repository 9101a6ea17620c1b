#include "pistachio/connection/codec/store_json.h"

#include <websocketpp/base64/base64.hpp>

namespace pistachio {

using json = WireJson;

namespace internal {

json EncodeValue(const std::string& value) {
  return websocketpp::base64_encode(reinterpret_cast<const unsigned char*>(value.data()),
                                    value.size());
}

std::string DecodeValue(const json& in) {
  return websocketpp::base64_decode(in.get<std::string>());
}

struct StoreCallWriter {
  json& out;

  void operator()(const GetCall& call) const { this->out = {{"op", "get"}, {"key", call.key}}; }
  void operator()(const ListCall& call) const {
    this->out = {{"op", "list"}, {"prefix", call.prefix}};
  }
  void operator()(const CompareAndSwapCall& call) const {
    this->out = {{"op", "compare-and-swap"},
                 {"key", call.key},
                 {"expected_version", call.expected_version},
                 {"value", EncodeValue(call.value)}};
  }
  void operator()(const DeleteCall& call) const {
    this->out = {{"op", "delete"}, {"key", call.key}, {"expected_version", call.expected_version}};
  }
  void operator()(const WatchCall& call) const {
    this->out = {{"op", "watch"},
                 {"prefix", call.prefix},
                 {"after_revision", call.after_revision},
                 {"wait_ms", call.wait.count()}};
  }
};

CompareAndSwapCall ReadCompareAndSwap(const json& in) {
  CompareAndSwapCall call;
  in.at("key").get_to(call.key);
  in.at("expected_version").get_to(call.expected_version);
  call.value = DecodeValue(in.at("value"));
  return call;
}

WatchCall ReadWatch(const json& in) {
  WatchCall call;
  in.at("prefix").get_to(call.prefix);
  in.at("after_revision").get_to(call.after_revision);
  call.wait = std::chrono::milliseconds(in.at("wait_ms").get<std::int64_t>());
  return call;
}

DeleteCall ReadDelete(const json& in) {
  return DeleteCall{in.at("key").get<std::string>(),
                    in.at("expected_version").get<std::uint64_t>()};
}

}  // namespace internal

void to_json(json& out, const StoreCall& call) { std::visit(internal::StoreCallWriter{out}, call); }

void from_json(const json& in, StoreCall& call) {
  const auto op = in.at("op").get<std::string>();
  if (op == "get") {
    call = GetCall{in.at("key").get<std::string>()};
  } else if (op == "list") {
    call = ListCall{in.at("prefix").get<std::string>()};
  } else if (op == "compare-and-swap") {
    call = internal::ReadCompareAndSwap(in);
  } else if (op == "delete") {
    call = internal::ReadDelete(in);
  } else if (op == "watch") {
    call = internal::ReadWatch(in);
  } else {
    constexpr int kUnknownOperation = 503;
    throw json::other_error::create(kUnknownOperation, "unknown operation " + op, &in);
  }
}

void to_json(json& out, const StoreReply& reply) {
  json entries = json::array();
  for (const StoreEntry& entry : reply.entries) {
    entries.push_back({{"key", entry.key},
                       {"value", internal::EncodeValue(entry.value)},
                       {"version", entry.version}});
  }
  out = {{"status", static_cast<int>(reply.status)},
         {"revision", reply.revision},
         {"entries", std::move(entries)}};
}

void from_json(const json& in, StoreReply& reply) {
  reply.status = internal::ReadEnum(in.at("status"), StoreStatus::kUnknown);
  in.at("revision").get_to(reply.revision);
  reply.entries.clear();
  for (const json& entry : in.at("entries")) {
    reply.entries.push_back(StoreEntry{entry.at("key").get<std::string>(),
                                       internal::DecodeValue(entry.at("value")),
                                       entry.at("version").get<std::uint64_t>()});
  }
}

}  // namespace pistachio

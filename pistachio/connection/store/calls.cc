#include "pistachio/connection/store/calls.h"

namespace pistachio {

const char* NameOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kMissing:
      return "missing";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

StoreItem FindItem(const StoreReply& reply, const std::string& key) {
  for (const StoreItem& item : reply.items) {
    if (item.key == key) {
      return item;
    }
  }
  StoreItem missing;
  missing.key = key;
  return missing;
}

bool WritesKeys(const StoreCall& call) {
  return std::holds_alternative<Transaction>(call) || std::holds_alternative<EndLease>(call);
}

}  // namespace pistachio

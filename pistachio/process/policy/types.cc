#include "pistachio/process/policy/types.h"

namespace pistachio {

const char* NameOf(ReactionKind kind) {
  switch (kind) {
    case ReactionKind::kThrottle:
      return "throttle";
    case ReactionKind::kRestore:
      return "restore";
    case ReactionKind::kEvict:
      return "evict";
  }
  return "unknown";
}

}  // namespace pistachio

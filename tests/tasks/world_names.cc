#include "tests/tasks/world.h"

namespace pistachio::testing {

const char* NameOf(Step step) {
  static const char* const kNames[kStepCount] = {
      "queue write",       "rack write", "assignment",      "confirmation",
      "withdrawal",        "tell end",   "acknowledge end", "start",
      "start answer",      "renew",      "renew answer",    "checkpoint",
      "checkpoint answer", "stop",       "stop answer",     "forget",
      "forget answer"};
  return kNames[static_cast<int>(step)];
}

const char* NameOf(Fault fault) {
  static const char* const kNames[kFaultCount] = {
      "none",          "lost before", "lost after",  "duplicated", "delayed past the lease",
      "holder paused", "holder dead", "target dead", "target cut", "service down",
      "holder cut off"};
  return kNames[static_cast<int>(fault)];
}

}  // namespace pistachio::testing

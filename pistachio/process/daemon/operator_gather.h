#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Who waits for an operator's answer: a call of this host, or one of a peer.
struct OperatorCaller {
  std::optional<HostId> peer;
  std::uint64_t call = 0;
};

/// \brief One host's answer to a part of an operator's call.
struct HostAnswer {
  int status = 0;
  std::string body;
};

/// \brief An operator's call that several hosts answer for the units they own.
struct OperatorGather {
  std::uint64_t operator_call = 0;
  std::string method;
  std::string path;
  std::set<std::uint64_t> outstanding;
  std::vector<HostAnswer> answers;
  TimePoint deadline;
};

/// \brief An answer that is true only once a ledger holds a record.
struct CommitWaiter {
  UnitId unit;
  std::uint64_t sequence = 0;
  OperatorCaller caller;
  std::string body;
};

/// \brief Joins the answers of several hosts into one.
///
/// Lists are joined row by row; of answers about one thing the first that is not `404` counts.
/// \param incomplete whether a host did not answer
HostAnswer JoinAnswers(const OperatorGather& gather, bool incomplete);

/// \returns an ApiError as a body.
std::string ErrorBody(const std::string& reason, const std::string& next_step);

}  // namespace pistachio

#include "pistachio/process/daemon/operator_gather.h"

#include <algorithm>

#include "pistachio/version/operator_api.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kWhyPrefix[] = "/v1/why/";

/// Joins the rows that \a rows points at in every host's list.
template <class List, class Row>
HostAnswer JoinLists(const OperatorGather& gather, std::vector<Row> List::*rows) {
  List joined;
  for (const HostAnswer& answer : gather.answers) {
    auto list = DecodeBody<List>(answer.body);
    if (answer.status != kOk || !list) {
      continue;
    }
    auto& more = (*list).*rows;
    (joined.*rows).insert((joined.*rows).end(), more.begin(), more.end());
  }
  return HostAnswer{kOk, EncodeBody(joined)};
}

/// The same target may be told by an old and a new owner; the one that owns it names itself.
HostAnswer JoinTargets(const OperatorGather& gather) {
  HostAnswer joined = JoinLists(gather, &TargetList::targets);
  auto list = DecodeBody<TargetList>(joined.body);
  auto& rows = list->targets;
  std::sort(rows.begin(), rows.end(), [](const TargetRow& a, const TargetRow& b) {
    return std::make_pair(a.target, a.owner.empty()) < std::make_pair(b.target, b.owner.empty());
  });
  const auto same = [](const TargetRow& a, const TargetRow& b) { return a.target == b.target; };
  rows.erase(std::unique(rows.begin(), rows.end(), same), rows.end());
  joined.body = EncodeBody(*list);
  return joined;
}

HostAnswer JoinDecisions(const OperatorGather& gather) {
  HostAnswer joined = JoinLists(gather, &WhyAnswer::decisions);
  auto why = DecodeBody<WhyAnswer>(joined.body);
  why->id = gather.path.substr(sizeof(kWhyPrefix) - 1);
  std::stable_sort(why->decisions.begin(), why->decisions.end(),
                   [](const DecisionRow& a, const DecisionRow& b) { return a.age > b.age; });
  joined.body = EncodeBody(*why);
  return joined;
}

HostAnswer FirstThatKnows(const OperatorGather& gather, bool incomplete) {
  for (const HostAnswer& answer : gather.answers) {
    if (answer.status != kNotFound) {
      return answer;
    }
  }
  if (incomplete) {
    return HostAnswer{kUnavailable, ErrorBody("not every entry host answered", "ask again")};
  }
  return HostAnswer{kNotFound, ErrorBody("no such job", "see `pistachioctl job list`")};
}

}  // namespace internal

HostAnswer JoinAnswers(const OperatorGather& gather, bool incomplete) {
  if (gather.method == "GET" && gather.path == "/v1/jobs") {
    return internal::JoinLists(gather, &JobList::jobs);
  }
  if (gather.path == "/v1/targets") {
    return internal::JoinTargets(gather);
  }
  if (gather.path == "/v1/services") {
    return internal::JoinLists(gather, &ServiceList::services);
  }
  if (gather.path == "/v1/hosts") {
    return internal::JoinLists(gather, &HostList::hosts);
  }
  if (gather.path.rfind(internal::kWhyPrefix, 0) == 0) {
    return internal::JoinDecisions(gather);
  }
  return internal::FirstThatKnows(gather, incomplete);
}

std::string ErrorBody(const std::string& reason, const std::string& next_step) {
  return EncodeBody(ApiError{reason, next_step});
}

}  // namespace pistachio

#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

namespace internal {

constexpr int kOutcomeUnknown = 202;
constexpr int kJobElsewhere = 409;
constexpr int kServiceUnavailable = 503;

std::string ClaimKeyOf(const JobId& job) { return "job-home/" + job.str(); }

}  // namespace internal

void ControlState::ClaimJob(const OperatorCalled& event, const JobSpec& spec) {
  // Every data centre has queues of its own: without a claim, a job submitted again in another
  // data centre would run in both.
  this->claiming[event.call] = event;
  this->ports.call_store(
      JobClaimOrigin{}, event.call, StoreRole::kOperator,
      CompareAndSwapCall{internal::ClaimKeyOf(spec.job), 0, this->config.data_centre.str()});
}

void ControlState::TakeClaim(std::uint64_t call, const StoreReply& reply) {
  const auto found = this->claiming.find(call);
  if (found == this->claiming.end()) {
    return;
  }
  const OperatorCalled event = std::move(found->second);
  this->claiming.erase(found);
  const auto spec = DecodeBody<JobSpec>(event.body);
  if (reply.status == StoreStatus::kUnavailable) {
    this->ports.answer_operator(
        call, internal::kServiceUnavailable,
        ErrorBody("the key-value service cannot be reached; nothing was changed", "ask again"));
    return;
  }
  if (reply.status == StoreStatus::kUnknown) {
    // Asking again finds the claim, if it was made, and goes on from there.
    const ActionAnswer answer{spec->job.str(), ChangeResult::kUnknown, "ask again"};
    this->ports.answer_operator(call, internal::kOutcomeUnknown, EncodeBody(answer));
    return;
  }
  const std::string home = reply.entries.front().value;
  if (home != this->config.data_centre.str()) {
    const ActionAnswer answer{spec->job.str(), ChangeResult::kRejected,
                              "a job of this name was submitted in data centre " + home};
    this->ports.answer_operator(call, internal::kJobElsewhere, EncodeBody(answer));
    return;
  }
  this->AskOwner(QueueOfTeam(spec->team, this->config.queues), event);
}

}  // namespace pistachio

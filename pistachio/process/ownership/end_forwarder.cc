#include "pistachio/process/ownership/end_forwarder.h"

#include <algorithm>
#include <set>

#include "pistachio/process/ownership/store_keys.h"

namespace pistachio {

void EndForwarder::Update(const std::vector<ForwardedEnd>& ends) {
  if (ends.empty() && this->open_ends.empty()) {
    return;
  }
  const std::set<ForwardedEnd> wanted(ends.begin(), ends.end());
  for (auto open = this->open_ends.begin(); open != this->open_ends.end();) {
    open = wanted.count(open->first) == 0 ? this->open_ends.erase(open) : std::next(open);
  }
  auto writing = static_cast<std::size_t>(
      std::count_if(this->open_ends.begin(), this->open_ends.end(),
                    [](const auto& open) { return open.second.step != Step::kAwaitRemoval; }));
  for (const ForwardedEnd& end : wanted) {
    if (writing >= this->settings.max_writing) {
      break;
    }
    writing += this->open_ends.emplace(end, OpenEnd{}).second ? 1 : 0;
  }
}

std::optional<EndForwarder::Call> EndForwarder::NextCall(TimePoint now) {
  for (auto& [end, open] : this->open_ends) {
    if (open.in_flight || now < open.next_call_at) {
      continue;
    }
    open.in_flight = true;
    const SubmissionId& id = end.task.submission;
    switch (open.step) {
      case Step::kReadAssignment:
        return Call{end, ReadKey{store_keys::AssignedCell(id)}};
      case Step::kWrite: {
        Transaction write;
        write.preconditions = {{store_keys::AssignedCell(id), open.assignment_revision}};
        write.puts = {Put{store_keys::InboxEnd(open.destination, end), "", 0}};
        return Call{end, write};
      }
      case Step::kAwaitRemoval:
        return Call{end, ReadKey{store_keys::InboxEnd(open.destination, end)}};
    }
  }
  return std::nullopt;
}

void EndForwarder::Restart(OpenEnd* open, TimePoint now) const {
  open->step = Step::kReadAssignment;
  open->next_call_at = now + this->settings.retry_delay;
}

bool EndForwarder::OnReply(const ForwardedEnd& end, const StoreReply& reply, const CellId& own_cell,
                           std::uint64_t inbox_revision, TimePoint now) {
  const auto found = this->open_ends.find(end);
  if (found == this->open_ends.end()) {
    return false;
  }
  OpenEnd& open = found->second;
  open.in_flight = false;
  const bool answered = reply.status == StoreStatus::kOk;
  switch (open.step) {
    case Step::kReadAssignment: {
      if (!answered || reply.items.empty()) {
        this->Restart(&open, now);
        return reply.status == StoreStatus::kMissing;
      }
      open.destination = CellId(reply.items.front().value);
      open.assignment_revision = reply.items.front().revision;
      if (open.destination == own_cell) {
        // The record came to the inbox with the assignment. If the cell has read it and does not
        // know the submission, no owner of this version can read the record.
        this->Restart(&open, now);
        return inbox_revision >= open.assignment_revision;
      }
      open.step = Step::kWrite;
      return false;
    }
    case Step::kWrite:
      if (!answered) {
        // The submission has moved on, or it is unknown whether the write has taken effect.
        this->Restart(&open, now);
        return false;
      }
      open.step = Step::kAwaitRemoval;
      open.poll_interval = this->settings.poll_interval;
      open.next_call_at = now + open.poll_interval;
      return false;
    case Step::kAwaitRemoval:
      open.poll_interval = std::min(open.poll_interval * 2, this->settings.max_poll_interval);
      open.next_call_at = now + open.poll_interval;
      return reply.status == StoreStatus::kMissing;
  }
  return false;
}

}  // namespace pistachio

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits and intervals of the delivery of ends to other cells.
struct EndForwarderSettings {
  /// Most ends that are being written at a time. After a cut, a cell may read hundreds at once.
  /// Those that wait for another owner don't count, as its cell may have none for long.
  std::size_t max_writing = 16;
  /// Delay of the first read that asks whether the other owner has stored the effect. It covers one
  /// of that owner's lazy commits. It doubles with each further read.
  Duration poll_interval = std::chrono::milliseconds(150);
  Duration max_poll_interval = std::chrono::milliseconds(1200);
  /// Delay after a call without success.
  Duration retry_delay = std::chrono::milliseconds(100);
};

/// \brief Delivers ends of runs as done to the cells that have their tasks now.
///
/// Each end is written to the inbox of the cell that its submission is assigned to, on the
/// condition that the assignment has not changed since it was read. The owner of that cell removes
/// it with the write that contains its effect, so the end is delivered once it is gone. An owner
/// that has moved the submission on forwards the end itself before it removes it.
///
/// Answers no load: ends come here only after a cut or a silent target, beside a move. Does no
/// input or output; the caller sends the calls.
class EndForwarder {
 public:
  explicit EndForwarder(const EndForwarderSettings& settings = {}) : settings(settings) {}

  /// A store call and the end that it is about.
  struct Call {
    ForwardedEnd end;
    StoreCall call;
  };

  /// \brief Forgets all ends.
  void Clear() { this->open_ends.clear(); }
  /// \brief Sets the ends to deliver; those not in \a ends any more are forgotten.
  void Update(const std::vector<ForwardedEnd>& ends);
  /// \returns the next call that is due; each is to be answered with OnReply().
  std::optional<Call> NextCall(TimePoint now);
  /// \brief Handles the reply to the last call about \a end. Replies about ends that were forgotten
  /// are ignored.
  /// \param own_cell the cell that forwards
  /// \param inbox_revision store revision up to which that cell's inbox is known
  /// \returns true if the end is delivered, or if its submission does not exist any more
  bool OnReply(const ForwardedEnd& end, const StoreReply& reply, const CellId& own_cell,
               std::uint64_t inbox_revision, TimePoint now);

 private:
  /// What the next call, or the one without a reply, is to find out or to do.
  enum class Step { kReadAssignment, kWrite, kAwaitRemoval };
  struct OpenEnd {
    Step step = Step::kReadAssignment;
    CellId destination;
    std::uint64_t assignment_revision = 0;  ///< of the submission's assigned cell
    bool in_flight = false;
    TimePoint next_call_at{};
    Duration poll_interval{0};  ///< delay of the next read of the step `kAwaitRemoval`
  };

  /// Begins anew with a read of the assignment.
  void Restart(OpenEnd* open, TimePoint now) const;

  EndForwarderSettings settings;
  std::map<ForwardedEnd, OpenEnd> open_ends;
};

}  // namespace pistachio

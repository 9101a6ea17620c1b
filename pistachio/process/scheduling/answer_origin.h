#pragma once

#include <optional>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Which incarnation of a target has answered an order, as far as the target's clock shows.
enum class AnswerOrigin {
  kExpected,  ///< certainly the incarnation that the order was meant for
  kLater,     ///< certainly a later one, since its clock has started anew
  kUnknown,   ///< the clock proves neither
};

/// \returns the name of \a origin in logs.
const char* NameOf(AnswerOrigin origin);

/// \brief What the sender of an order knew of its target's clock when it sent the order.
struct ClockAtSending {
  /// Lower bound of the clock if the target has not restarted; nothing if no reading is known.
  std::optional<TargetTime> earliest;
  /// The last reading was requested then, so the incarnation still existed.
  TimePoint reading_requested_at{};
};

/// \brief Finds out which incarnation has answered an order that names the target's id only.
///
/// Designed for targets that restart under the same id between two lists: the answer to an order
/// does not tell the incarnation, but its clock starts anew with each. Answers may overtake each
/// other, so a reading below an earlier one is no proof; a reading below what was known when the
/// order was sent is one.
/// \param reading the target's clock in the answer, if there is one
/// \param now time at which the answer is handled
AnswerOrigin OriginOfAnswer(const ClockAtSending& sent, const std::optional<TargetTime>& reading,
                            TimePoint now);

}  // namespace pistachio

#include "pistachio/process/scheduling/crash_blame.h"

#include <algorithm>

namespace pistachio {

namespace internal {

bool HasLabel(const std::vector<std::string>& labels, const std::string& label) {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// \returns true if \a lost is at least \a min_count and at least the fraction \a min_share of
///   \a total.
bool IsLargeShare(std::size_t lost, std::size_t total, std::size_t min_count, double min_share) {
  return lost >= min_count && static_cast<double>(lost) >= min_share * static_cast<double>(total);
}

}  // namespace internal

const char* NameOf(LossKind kind) {
  switch (kind) {
    case LossKind::kAlone:
      return "alone";
    case LossKind::kGroup:
      return "group";
    case LossKind::kOutage:
      return "outage";
  }
  return "unknown";
}

LossKind ClassifyLoss(const TargetLoss& loss, const std::vector<TargetLoss>& others,
                      const std::vector<std::vector<std::string>>& targets,
                      const CrashSettings& settings) {
  std::vector<const TargetLoss*> together;
  for (const TargetLoss& other : others) {
    const Duration apart =
        std::max(other.at - other.uncertainty - loss.at, loss.at - loss.uncertainty - other.at);
    if (!other.explained && apart <= settings.outage_window) {
      together.push_back(&other);
    }
  }
  const bool of_all = internal::IsLargeShare(
      together.size(), targets.size(), settings.min_outage_targets, settings.min_outage_share);
  const bool of_label =
      std::any_of(loss.labels.begin(), loss.labels.end(), [&](const std::string& label) {
        const auto lost = std::count_if(
            together.begin(), together.end(),
            [&](const TargetLoss* other) { return internal::HasLabel(other->labels, label); });
        const auto total = std::count_if(targets.begin(), targets.end(), [&](const auto& labels) {
          return internal::HasLabel(labels, label);
        });
        return internal::IsLargeShare(static_cast<std::size_t>(lost),
                                      static_cast<std::size_t>(total), settings.min_outage_targets,
                                      settings.min_outage_share);
      });
  if (of_all || of_label) {
    return LossKind::kOutage;
  }
  return internal::IsLargeShare(together.size(), targets.size(), settings.min_group_targets,
                                settings.min_group_share)
             ? LossKind::kGroup
             : LossKind::kAlone;
}

bool IsGivenUp(const CrashRecord& record, std::size_t other_losses, const CrashSettings& settings) {
  const std::uint32_t min_crashes =
      settings.min_crashes + (other_losses > settings.max_other_losses ? 1 : 0);
  if (record.crashes < min_crashes) {
    return record.losses >= settings.max_losses;
  }
  return record.isolated || record.losses >= settings.max_losses_after_crashes;
}

}  // namespace pistachio

#pragma once

#include <algorithm>

namespace pistachio::internal {

/// \brief Budget of extra attempts, retries and hedges alike, of one service.
///
/// Each first attempt earns a share of one extra attempt, so the extra attempts never exceed that
/// share of the first attempts. A bounded amount can be saved for a burst.
class AttemptBudget {
 public:
  explicit AttemptBudget(double share) : share(share) {}

  void EarnForFirstAttempt() { this->saved = std::min(this->saved + this->share, kMaxSaved); }

  /// \returns true if an extra attempt is allowed; it is then paid for.
  bool TrySpend() {
    if (this->saved < 1.0) {
      return false;
    }
    this->saved -= 1.0;
    return true;
  }

 private:
  static constexpr double kMaxSaved = 50.0;  ///< extra attempts

  double share;
  double saved = 0.0;
};

}  // namespace pistachio::internal

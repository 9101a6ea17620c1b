#pragma once

/// \file
/// \brief Reasons that go with an Outcome; docs/API.md lists them.

namespace pistachio::outcome_reason {

inline constexpr char kQueueFull[] = "queue-full";
inline constexpr char kFairShareUsed[] = "fair-share-used";
inline constexpr char kDeadlineTooShort[] = "deadline-too-short";
inline constexpr char kDeadlineInQueue[] = "deadline-in-queue";
inline constexpr char kDeadlineInFlight[] = "deadline-in-flight";
inline constexpr char kNoSuchService[] = "no-such-service";
inline constexpr char kStopping[] = "entry-host-stopping";
inline constexpr char kTargetsRefused[] = "targets-refused";
inline constexpr char kTargetsUnreachable[] = "targets-unreachable";
inline constexpr char kAttemptBroken[] = "attempt-broken";
inline constexpr char kCallerLeft[] = "caller-left";
inline constexpr char kIdFinished[] = "id-finished";
inline constexpr char kIdForgotten[] = "id-forgotten";
inline constexpr char kIdOfOlderIncarnation[] = "id-of-older-incarnation";
inline constexpr char kIdNeverIssued[] = "id-never-issued";
inline constexpr char kIdOfOtherRequest[] = "id-of-other-request";
inline constexpr char kHomeUnreachable[] = "home-unreachable";
inline constexpr char kNotHome[] = "not-home";

}  // namespace pistachio::outcome_reason

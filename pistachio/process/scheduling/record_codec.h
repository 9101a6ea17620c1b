#pragma once

#include <optional>
#include <string>

#include "pistachio/process/scheduling/submission.h"

namespace pistachio {

/// \returns the store record of an accepted submission, as CBOR bytes.
std::string EncodeAccepted(const AcceptedSubmission& accepted);

/// \brief Reads a record that EncodeAccepted() wrote.
/// \returns nothing if \a bytes are malformed.
std::optional<AcceptedSubmission> DecodeAccepted(const std::string& bytes);

/// \returns the store record of a submission's progress, as CBOR bytes.
std::string EncodeProgress(const Submission& submission);

/// \brief Reads a record that EncodeProgress() wrote into \a submission.
/// \param submission in: the accepted submission; out: the same with its progress
/// \returns false if \a bytes are malformed or do not fit the steps of \a submission, which is then
///   unchanged.
bool DecodeProgress(const std::string& bytes, Submission* submission);

/// \brief Reads the state that callers see from a record that EncodeProgress() wrote, without
/// decoding the rest.
/// \returns nothing if \a bytes are malformed.
std::optional<SubmissionState> DecodeState(const std::string& bytes);

}  // namespace pistachio

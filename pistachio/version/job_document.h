#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachio/version/job_spec.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \returns the name of \a kind in documents, such as `batch`.
const char* NameOf(WorkKind kind);

/// \brief Parses and validates a job document, which an operator writes in TOML.
///
/// The limits of the job's team are not checked here. `SettingsHierarchy::CheckJob` checks them at
/// submission.
/// \param file name of the document in error messages
/// \param errors receives the errors of the document
/// \returns the job, or nothing if an error was added to \a errors
std::optional<JobSpec> ParseJobDocument(const std::string& text, const std::string& file,
                                        std::vector<SettingsError>* errors);

}  // namespace pistachio

#include "pistachio/version/job_document.h"

#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

/// \returns the job that a valid document describes.
JobSpec BuildJob(const CheckedDocument& document) {
  JobSpec spec;
  spec.job = JobId(document.GetText("job"));
  spec.team = TeamId(document.GetText("team"));
  spec.kind = document.GetText("kind") == NameOf(WorkKind::kService) ? WorkKind::kService
                                                                     : WorkKind::kBatch;
  spec.service = ServiceId(document.GetText("service"));
  spec.work_class = WorkClass(document.GetText("work_class"));
  spec.priority = static_cast<std::int32_t>(document.GetInteger("priority"));
  spec.count = static_cast<std::uint32_t>(document.GetInteger("count"));
  spec.task_resources =
      Resources{document.GetInteger("cpu_millis"), document.GetInteger("memory_mib"),
                document.GetInteger("accelerators")};
  spec.expected_run = document.GetDuration("expected_run");
  spec.max_attempts = static_cast<std::uint32_t>(document.GetInteger("max_attempts"));
  spec.max_per_rack = static_cast<std::uint32_t>(document.GetInteger("max_per_rack"));
  for (const std::string& rack : document.GetNames("only_in_racks")) {
    spec.only_in_racks.emplace_back(rack);
  }
  if (spec.work_class.empty()) {
    spec.work_class = WorkClass(spec.service.empty() ? spec.job.str() : spec.service.str());
  }
  return spec;
}

}  // namespace internal

const char* NameOf(WorkKind kind) { return kind == WorkKind::kService ? "service" : "batch"; }

std::optional<JobSpec> ParseJobDocument(const std::string& text, const std::string& file,
                                        std::vector<SettingsError>* errors) {
  const auto document = ReadDocument(DocumentKind::kJob, text, file, errors);
  if (!document) {
    return std::nullopt;
  }
  const std::string kind = document->GetText("kind");
  if (kind != NameOf(WorkKind::kBatch) && kind != NameOf(WorkKind::kService)) {
    errors->push_back(SettingsError{file, document->LineOf("kind"), "kind",
                                    "\"" + kind + "\" is not a kind of work",
                                    "\"batch\" or \"service\""});
    return std::nullopt;
  }
  const bool is_service = kind == NameOf(WorkKind::kService);
  if (is_service == document->GetText("service").empty()) {
    errors->push_back(SettingsError{file, document->LineOf("service"), "service",
                                    is_service ? "is missing" : "is for kind \"service\" only",
                                    "the name that callers request, for kind \"service\" only"});
    return std::nullopt;
  }
  return internal::BuildJob(*document);
}

}  // namespace pistachio

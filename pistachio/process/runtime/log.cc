#include "pistachio/process/runtime/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace pistachio {

namespace internal {

spdlog::level::level_enum LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace internal

void OpenLog(const std::string& source) {
  auto logger = spdlog::get(source);
  if (!logger) {
    logger = spdlog::stderr_logger_mt(source);
  }
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void WriteEvent(const EventRecord& record) {
  const auto description = FindEvent(record.code);
  const Severity severity = description ? description->severity : Severity::kError;
  spdlog::log(internal::LevelOf(severity), "{}", record.str());
}

}  // namespace pistachio

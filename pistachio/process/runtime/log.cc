#include "pistachio/process/runtime/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>

namespace pistachio {

namespace internal {

/// Maximum number of queued lines: those of one second at ten times the rate of a busy cell owner.
constexpr std::size_t kMaxQueuedLines = 4096;
/// Time between two flushes to standard output.
constexpr std::chrono::seconds kFlushInterval{1};

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

/// Number of dropped lines that log-lines-dropped events have reported so far.
std::atomic<std::size_t>& ReportedDropCount() {
  static std::atomic<std::size_t> reported{0};
  return reported;
}

void WriteLine(const EventRecord& record) {
  const auto description = FindEvent(record.code);
  const Severity severity = description ? description->severity : Severity::kError;
  spdlog::log(LevelOf(severity), "{}", record.str());
}

/// Logs the number of lines dropped since the last report, if there are any.
void ReportDroppedLines() {
  const auto pool = spdlog::thread_pool();
  const std::size_t dropped = pool ? pool->overrun_counter() : 0;
  const std::size_t reported = ReportedDropCount().exchange(dropped);
  if (dropped > reported) {
    WriteLine({EventCode::kLogLinesDropped, {{"lines", std::to_string(dropped - reported)}}});
  }
}

}  // namespace internal

void OpenLog(const std::string& source) {
  spdlog::init_thread_pool(internal::kMaxQueuedLines, 1);
  auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(source);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::warn);
  spdlog::flush_every(internal::kFlushInterval);
  spdlog::set_default_logger(logger);
}

void WriteEvent(const EventRecord& record) {
  internal::ReportDroppedLines();
  internal::WriteLine(record);
}

void CloseLog() { spdlog::shutdown(); }

}  // namespace pistachio

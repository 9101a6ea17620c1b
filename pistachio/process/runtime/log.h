#pragma once

#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief Opens the process's log, which writes one line for each event to standard output.
///
/// A separate thread writes the lines. If its queue is full, the oldest line is dropped and
/// counted, so that callers never block on the log. \param source name that every line carries,
/// such as `host-a1`
void OpenLog(const std::string& source);

/// \brief Writes one event at the severity that the catalogue gives it, or as an error if the
/// catalogue has no entry for it. Thread-safe.
void WriteEvent(const EventRecord& record);

/// \brief Writes the queued lines and ends the log's thread.
void CloseLog();

}  // namespace pistachio

#pragma once

#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief Prepares the process's log: one line for each event, on standard error.
///
/// \param source name that every line carries, such as `host-a1`
void OpenLog(const std::string& source);

/// \brief Writes one event at the severity that the catalogue gives it. Thread-safe.
void WriteEvent(const EventRecord& record);

}  // namespace pistachio

#pragma once

#include <cstdint>

namespace pistachio::bench {

/// \brief The way that requests take.
enum class CostCase {
  kFreeSlots,  ///< sent at once
  kQueued,     ///< every slot is in use, so that they wait in the queue
  kRefused,    ///< the queue is full
};

/// \brief Processor time of one request in the broker: arrival, attempt, answer, outcome and their
/// log records, which are made but not written.
///
/// \param targets targets of the service, with eight slots each
/// \returns microseconds of processor time for each request
double MicrosPerRequest(std::uint32_t targets, CostCase which, std::uint32_t requests);

}  // namespace pistachio::bench

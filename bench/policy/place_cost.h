#pragma once

namespace pistachio::bench {

/// \brief Prints what one call of `Place` costs at 10, 90 and 900 targets. \returns the exit
/// status.
int PrintPlaceCost();

}  // namespace pistachio::bench

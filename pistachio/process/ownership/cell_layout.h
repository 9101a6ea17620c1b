#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Division of an installation's targets into cells. Each cell has one owner, the host that
/// schedules on the cell's targets.
enum class CellLayout {
  kOneCell,        ///< one cell with all targets of the installation
  kPerDataCentre,  ///< one cell for each data centre
};

/// \brief Number of targets up to which the one-cell layout is used on hosts of any size.
constexpr std::size_t kMinTargetsForSeveralCells = 120;

/// \brief Chooses the permanent layout of an installation.
/// \param targets number of targets of the installation
/// \param owner_cpu thousandths of a core of the hosts that would own a single cell
///
/// With several cells, targets of one cell may be idle while submissions wait in another. One cell
/// is therefore preferred as long as a single owner can handle all targets.
CellLayout ChooseLayout(std::size_t targets, std::int64_t owner_cpu);

/// \brief A cell and the data centres whose targets it holds.
struct CellScope {
  CellId cell;
  std::vector<DataCentreId> data_centres;
};

/// \returns the cells of \a layout in an installation with the given data centres.
std::vector<CellScope> CellsOf(CellLayout layout, const std::vector<DataCentreId>& data_centres);

/// \returns the layout as it is stored.
std::string EncodeRecord(CellLayout layout);

/// \returns the stored layout, or nothing if \a bytes do not name one.
std::optional<CellLayout> DecodeLayout(const std::string& bytes);

}  // namespace pistachio

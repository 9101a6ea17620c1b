#include "pistachio/process/ownership/cell_layout.h"

namespace pistachio {

namespace internal {

/// Thousandths of a core that an owner uses for each target, see docs/CAPACITY.md.
constexpr double kCpuMillisPerTarget = 1.7;
/// Largest share of a host's processor that scheduling may use in the mean. The rest is for bursts
/// and for callers.
constexpr double kMaxOwnerCpuShare = 0.55;
constexpr const char* kOneCellRecord = "one-cell";
constexpr const char* kPerDataCentreRecord = "per-data-centre";
constexpr const char* kOneCellId = "all";

}  // namespace internal

CellLayout ChooseLayout(std::size_t targets, std::int64_t owner_cpu) {
  const double affordable =
      internal::kMaxOwnerCpuShare * static_cast<double>(owner_cpu) / internal::kCpuMillisPerTarget;
  const bool one_cell =
      targets <= kMinTargetsForSeveralCells || static_cast<double>(targets) <= affordable;
  return one_cell ? CellLayout::kOneCell : CellLayout::kPerDataCentre;
}

std::vector<CellScope> CellsOf(CellLayout layout, const std::vector<DataCentreId>& data_centres) {
  if (layout == CellLayout::kOneCell) {
    return {CellScope{CellId(internal::kOneCellId), data_centres}};
  }
  std::vector<CellScope> cells;
  cells.reserve(data_centres.size());
  for (const DataCentreId& data_centre : data_centres) {
    cells.push_back(CellScope{CellId(data_centre.str()), {data_centre}});
  }
  return cells;
}

std::string EncodeRecord(CellLayout layout) {
  return layout == CellLayout::kOneCell ? internal::kOneCellRecord : internal::kPerDataCentreRecord;
}

std::optional<CellLayout> DecodeLayout(const std::string& bytes) {
  if (bytes == internal::kOneCellRecord) {
    return CellLayout::kOneCell;
  }
  return bytes == internal::kPerDataCentreRecord
             ? std::optional<CellLayout>(CellLayout::kPerDataCentre)
             : std::nullopt;
}

}  // namespace pistachio

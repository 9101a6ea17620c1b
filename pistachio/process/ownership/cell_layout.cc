#include "pistachio/process/ownership/cell_layout.h"

namespace pistachio {

namespace internal {

constexpr const char* kOneCellRecord = "one-cell";
constexpr const char* kPerDataCentreRecord = "per-data-centre";
constexpr const char* kOneCellId = "all";

}  // namespace internal

CellLayout ChooseLayout(std::size_t targets) {
  return targets <= kMaxTargetsInOneCell ? CellLayout::kOneCell : CellLayout::kPerDataCentre;
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

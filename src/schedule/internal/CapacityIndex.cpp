#include "schedule/internal/CapacityIndex.h"

namespace crocuslead::schedule::internal {

CapacityIndex::CapacityIndex() {
  for (Grid &G : Grids_)
    G.Cells_.resize(static_cast<std::size_t>(GridSize) * GridSize);
}

// Two buckets per power of two.
unsigned CapacityIndex::bucketOf(int64_t Amount) {
  if (Amount <= 1)
    return Amount <= 0 ? 0 : 1;
  auto Value = static_cast<uint64_t>(Amount);
  auto Log = static_cast<unsigned>(63 - __builtin_clzll(Value));
  auto Half = static_cast<unsigned>((Value >> (Log - 1)) & 1);
  return std::min(1 + 2 * Log + Half, GridSize - 1);
}

void CapacityIndex::update(Worker &W) {
  unsigned GridIndex = W.Usable_.Accelerators_ > 0 ? 1 : 0;
  unsigned Row = bucketOf(W.Usable_.MilliCpu_);
  unsigned Column = bucketOf(W.Usable_.MemoryMb_);
  auto Cell =
      static_cast<int32_t>((GridIndex * GridSize + Row) * GridSize + Column);
  if (Cell == W.IndexCell_)
    return;
  remove(W);
  Grid &G = Grids_[GridIndex];
  auto &Members = G.Cells_[Row * GridSize + Column];
  W.IndexCell_ = Cell;
  W.IndexSlot_ = static_cast<uint32_t>(Members.size());
  Members.push_back(&W);
  G.RowMask_[Row] |= 1ULL << Column;
  G.ColumnMask_[Column] |= 1ULL << Row;
}

void CapacityIndex::remove(Worker &W) {
  if (W.IndexCell_ < 0)
    return;
  auto Cell = static_cast<unsigned>(W.IndexCell_);
  Grid &G = Grids_[Cell / (GridSize * GridSize)];
  unsigned Row = Cell / GridSize % GridSize;
  unsigned Column = Cell % GridSize;
  auto &Members = G.Cells_[Row * GridSize + Column];
  Members[W.IndexSlot_] = Members.back();
  Members[W.IndexSlot_]->IndexSlot_ = W.IndexSlot_;
  Members.pop_back();
  W.IndexCell_ = -1;
  if (!Members.empty())
    return;
  G.RowMask_[Row] &= ~(1ULL << Column);
  G.ColumnMask_[Column] &= ~(1ULL << Row);
}

} // namespace crocuslead::schedule::internal

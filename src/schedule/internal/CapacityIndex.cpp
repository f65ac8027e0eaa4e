#include "schedule/internal/CapacityIndex.h"

namespace crocuslead::schedule::internal {

CapacityIndex::CapacityIndex() {
  for (Grid &Each : Grids_)
    Each.Cells_.resize(static_cast<std::size_t>(Side) * Side);
}

// Two buckets per power of two.
unsigned CapacityIndex::bucketOf(int64_t Amount) {
  if (Amount <= 1)
    return Amount <= 0 ? 0 : 1;
  auto Value = static_cast<uint64_t>(Amount);
  auto Log = static_cast<unsigned>(63 - __builtin_clzll(Value));
  auto Half = static_cast<unsigned>((Value >> (Log - 1)) & 1);
  return std::min(1 + 2 * Log + Half, Side - 1);
}

void CapacityIndex::update(Worker &Target) {
  unsigned Which = Target.Usable_.Accelerators_ > 0 ? 1 : 0;
  unsigned Row = bucketOf(Target.Usable_.MilliCpu_);
  unsigned Column = bucketOf(Target.Usable_.MemoryMb_);
  auto Cell = static_cast<int32_t>((Which * Side + Row) * Side + Column);
  if (Cell == Target.IndexCell_)
    return;
  remove(Target);
  Grid &Here = Grids_[Which];
  auto &Members = Here.Cells_[Row * Side + Column];
  Target.IndexCell_ = Cell;
  Target.IndexSlot_ = static_cast<uint32_t>(Members.size());
  Members.push_back(&Target);
  Here.RowMask_[Row] |= 1ULL << Column;
  Here.ColumnMask_[Column] |= 1ULL << Row;
}

void CapacityIndex::remove(Worker &Target) {
  if (Target.IndexCell_ < 0)
    return;
  auto Cell = static_cast<unsigned>(Target.IndexCell_);
  Grid &Here = Grids_[Cell / (Side * Side)];
  unsigned Row = Cell / Side % Side;
  unsigned Column = Cell % Side;
  auto &Members = Here.Cells_[Row * Side + Column];
  Members[Target.IndexSlot_] = Members.back();
  Members[Target.IndexSlot_]->IndexSlot_ = Target.IndexSlot_;
  Members.pop_back();
  Target.IndexCell_ = -1;
  if (!Members.empty())
    return;
  Here.RowMask_[Row] &= ~(1ULL << Column);
  Here.ColumnMask_[Column] &= ~(1ULL << Row);
}

} // namespace crocuslead::schedule::internal

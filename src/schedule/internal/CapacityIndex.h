#pragma once

#include "schedule/internal/Worker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

namespace crocuslead::schedule::internal {

//! Index of workers by usable CPU and memory: a grid of logarithmic buckets.
//! One grid holds the workers without usable accelerators, another one the
//! workers with them.
class CapacityIndex {
public:
  CapacityIndex();

  //! Inserts the worker under its Usable_ capacity, or moves it there.
  void update(Worker &W);
  void remove(Worker &W);

  //! Calls Visit for workers that may fit the request, tightest first, until it
  //! returns false. A border bucket also holds workers that are too small, so
  //! the first pass visits only a bounded number of workers of each. The second
  //! pass visits the rest, unless Found returns true after the first.
  template <class Visitor, class Predicate>
  void search(const base::Resources &Request, Visitor &&Visit,
              Predicate &&Found) const {
    for (std::size_t Pass = 0; Pass < 2; ++Pass) {
      for (std::size_t GridIndex = Request.Accelerators_ > 0 ? 1 : 0;
           GridIndex < 2; ++GridIndex)
        if (!searchGrid(GridIndex, Request, Pass, Visit))
          return;
      if (Found())
        return;
    }
  }

private:
  //! Buckets per dimension.
  static constexpr unsigned GridSize = 64;
  //! Workers visited per border bucket in the first pass.
  static constexpr std::size_t MaxBorderVisits = 32;

  struct Grid {
    std::array<uint64_t, GridSize> RowMask_{};
    std::array<uint64_t, GridSize> ColumnMask_{};
    std::vector<std::vector<Worker *>> Cells_;
  };

  static unsigned bucketOf(int64_t Amount);
  static uint64_t bitsBetween(unsigned First, unsigned Last) {
    return (Last >= 63 ? ~0ULL : (1ULL << (Last + 1)) - 1) &
           ~((1ULL << First) - 1);
  }

  template <class Visitor>
  bool visitCell(const std::vector<Worker *> &Cell, bool Border,
                 std::size_t Pass, Visitor &&Visit) const {
    // The second pass visits what the first pass skipped in border cells.
    std::size_t Begin = Pass == 0 ? 0 : MaxBorderVisits;
    std::size_t End = Pass == 0 && Border
                          ? std::min(Cell.size(), MaxBorderVisits)
                          : Cell.size();
    for (std::size_t I = Begin; I < End; ++I)
      if (!Visit(*Cell[I]))
        return false;
    return true;
  }

  template <class Visitor>
  bool searchGrid(std::size_t GridIndex, const base::Resources &Request,
                  std::size_t Pass, Visitor &&Visit) const {
    const Grid &G = Grids_[GridIndex];
    unsigned MinRow = bucketOf(Request.MilliCpu_);
    unsigned MinColumn = bucketOf(Request.MemoryMb_);
    auto VisitAt = [&](unsigned Row, unsigned Column) {
      bool Border = Row == MinRow || Column == MinColumn;
      return (Pass == 1 && !Border) ||
             visitCell(G.Cells_[Row * GridSize + Column], Border, Pass, Visit);
    };
    // Visits the cells by increasing distance from the request, so that the
    // tightest workers come first.
    for (unsigned Distance = 0;
         MinRow + Distance < GridSize || MinColumn + Distance < GridSize;
         ++Distance) {
      unsigned Row = MinRow + Distance;
      if (Row < GridSize) {
        uint64_t Bits = G.RowMask_[Row] &
                        bitsBetween(MinColumn, std::min(MinColumn + Distance,
                                                        GridSize - 1));
        for (; Bits != 0; Bits &= Bits - 1)
          if (!VisitAt(Row, static_cast<unsigned>(__builtin_ctzll(Bits))))
            return false;
      }
      unsigned Column = MinColumn + Distance;
      if (Distance == 0 || Column >= GridSize)
        continue;
      uint64_t Bits =
          G.ColumnMask_[Column] &
          bitsBetween(MinRow, std::min(MinRow + Distance - 1, GridSize - 1));
      for (; Bits != 0; Bits &= Bits - 1)
        if (!VisitAt(static_cast<unsigned>(__builtin_ctzll(Bits)), Column))
          return false;
    }
    return true;
  }

  std::array<Grid, 2> Grids_;
};

} // namespace crocuslead::schedule::internal

#pragma once

#include "schedule/internal/Worker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

namespace crocuslead::schedule::internal {

//! Workers in a grid of logarithmic buckets of usable processors and memory,
//! one grid for workers without usable accelerators and one for the others.
class CapacityIndex {
public:
  CapacityIndex();

  //! Files the worker under its Usable_ capacity.
  void update(Worker &Target);
  void remove(Worker &Target);

  //! Calls Visit for workers that may hold the request, tightest first, until
  //! it returns false. The first pass looks at a bounded number of workers of
  //! each bucket that also holds smaller workers; unless Visit accepted one of
  //! them (Found returns true), the second pass looks at the rest.
  template <class Visitor, class Predicate>
  void search(const base::Resources &Request, Visitor &&Visit,
              Predicate &&Found) const {
    for (std::size_t Pass = 0; Pass < 2; ++Pass) {
      for (std::size_t Grid = Request.Accelerators_ > 0 ? 1 : 0; Grid < 2;
           ++Grid)
        if (!searchGrid(Grid, Request, Pass, Visit))
          return;
      if (Found())
        return;
    }
  }

private:
  static constexpr unsigned Side = 64;
  //! Workers looked at per border bucket in the first pass.
  static constexpr std::size_t BorderVisits = 32;

  struct Grid {
    std::array<uint64_t, Side> RowMask_{};
    std::array<uint64_t, Side> ColumnMask_{};
    std::vector<std::vector<Worker *>> Cells_;
  };

  static unsigned bucketOf(int64_t Amount);
  static uint64_t bitsBetween(unsigned From, unsigned To) {
    return (To >= 63 ? ~0ULL : (1ULL << (To + 1)) - 1) & ~((1ULL << From) - 1);
  }

  template <class Visitor>
  bool visitCell(const std::vector<Worker *> &Cell, bool Border,
                 std::size_t Pass, Visitor &&Visit) const {
    // The second pass visits what the first left out of border cells.
    std::size_t From = Pass == 0 ? 0 : BorderVisits;
    std::size_t To =
        Pass == 0 && Border ? std::min(Cell.size(), BorderVisits) : Cell.size();
    for (std::size_t I = From; I < To; ++I)
      if (!Visit(*Cell[I]))
        return false;
    return true;
  }

  template <class Visitor>
  bool searchGrid(std::size_t Which, const base::Resources &Request,
                  std::size_t Pass, Visitor &&Visit) const {
    const Grid &Here = Grids_[Which];
    unsigned Row0 = bucketOf(Request.MilliCpu_);
    unsigned Column0 = bucketOf(Request.MemoryMb_);
    auto Cell = [&](unsigned Row, unsigned Column) {
      bool Border = Row == Row0 || Column == Column0;
      return (Pass == 1 && !Border) ||
             visitCell(Here.Cells_[Row * Side + Column], Border, Pass, Visit);
    };
    // Rings of growing distance from the request: the tightest come first.
    for (unsigned D = 0; Row0 + D < Side || Column0 + D < Side; ++D) {
      unsigned Row = Row0 + D;
      if (Row < Side) {
        uint64_t Bits = Here.RowMask_[Row] &
                        bitsBetween(Column0, std::min(Column0 + D, Side - 1));
        for (; Bits != 0; Bits &= Bits - 1)
          if (!Cell(Row, static_cast<unsigned>(__builtin_ctzll(Bits))))
            return false;
      }
      unsigned Column = Column0 + D;
      if (D == 0 || Column >= Side)
        continue;
      uint64_t Bits = Here.ColumnMask_[Column] &
                      bitsBetween(Row0, std::min(Row0 + D - 1, Side - 1));
      for (; Bits != 0; Bits &= Bits - 1)
        if (!Cell(static_cast<unsigned>(__builtin_ctzll(Bits)), Column))
          return false;
    }
    return true;
  }

  std::array<Grid, 2> Grids_;
};

} // namespace crocuslead::schedule::internal

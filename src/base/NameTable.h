#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace crocuslead::base {

//! Maps the values of an `enum class` to their names and back.
//! Each value appears once; lookups are linear, since tables are short.
template <typename Enum, std::size_t Size> class NameTable {
public:
  using Row = std::pair<Enum, std::string_view>;

  constexpr explicit NameTable(std::array<Row, Size> Rows) : Rows_(Rows) {}

  constexpr std::string_view name(Enum Value) const {
    for (const Row &R : Rows_)
      if (R.first == Value)
        return R.second;
    return "unknown";
  }

  constexpr std::optional<Enum> parse(std::string_view Name) const {
    for (const Row &R : Rows_)
      if (R.second == Name)
        return R.first;
    return std::nullopt;
  }

  constexpr const std::array<Row, Size> &rows() const { return Rows_; }

private:
  std::array<Row, Size> Rows_;
};

//! Builds a NameTable from `{value, name}` rows.
template <typename Enum, std::size_t Size>
constexpr NameTable<Enum, Size>
makeNameTable(const std::pair<Enum, std::string_view> (&Rows)[Size]) {
  std::array<std::pair<Enum, std::string_view>, Size> Copy{};
  for (std::size_t I = 0; I < Size; ++I) {
    Copy[I].first = Rows[I].first;
    Copy[I].second = Rows[I].second;
  }
  return NameTable<Enum, Size>(Copy);
}

} // namespace crocuslead::base

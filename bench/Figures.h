#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslead::bench {

enum class Better : uint8_t { Lower, Higher };

//! One measured figure; written as one JSON line.
struct Figure {
  std::string Name_;
  double Value_ = 0;
  std::string Unit_;
  //! Target from the requirements; none where they state none.
  std::optional<double> Target_;
  Better Better_ = Better::Lower;
  //! The same figure of a baseline on the same seeded work.
  std::optional<double> Baseline_;
  std::string BaselineName_;
};

//! Writes the figure to standard output.
void emit(const Figure &Value);

//! Seed of all seeded work; a repeated run gives the same figures, but for
//! times.
inline constexpr uint64_t Seed = 20261204;

void scheduleFigures();
void partitionFigures();
void coordinatorFigures();
void routeFigures();
void fleetFigures();

//! Sends Count GET requests to Url, Concurrency at a time, and prints p50, p99
//! and requests per second as one JSON line; false when one failed.
bool runLoadClient(const std::string &Url, int Concurrency, int Count);

} // namespace crocuslead::bench

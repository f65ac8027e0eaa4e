#pragma once

#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace crocuslead::tests {

//! Seeds from First_ to Last_, both included.
struct SeedRange {
  uint64_t First_ = 0;
  uint64_t Last_ = 0;
};

//! The range in CROCUSLEAD_SEEDS ("FIRST-LAST"), for long runs by hand, or the
//! default one.
inline SeedRange seedRange(SeedRange Default) {
  const char *Text = std::getenv("CROCUSLEAD_SEEDS");
  if (Text == nullptr)
    return Default;
  SeedRange Out;
  char Dash = 0;
  std::istringstream In(Text);
  return In >> Out.First_ >> Dash >> Out.Last_ && Dash == '-' ? Out : Default;
}

} // namespace crocuslead::tests

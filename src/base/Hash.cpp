#include "base/Hash.h"

namespace crocuslead::base {

namespace {

uint64_t mix(uint64_t Z) {
  Z = (Z ^ (Z >> 33)) * 0xFF51AFD7ED558CCDULL;
  Z = (Z ^ (Z >> 33)) * 0xC4CEB9FE1A85EC53ULL;
  return Z ^ (Z >> 33);
}

} // namespace

uint64_t stableHash(std::string_view Text, uint64_t Seed) {
  constexpr uint64_t OffsetBasis = 0xCBF29CE484222325ULL;
  constexpr uint64_t Prime = 0x100000001B3ULL;
  uint64_t Hash = OffsetBasis ^ mix(Seed);
  for (char C : Text) {
    Hash ^= static_cast<unsigned char>(C);
    Hash *= Prime;
  }
  return mix(Hash);
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Candidate) {
  return stableHash(Key, stableHash(Candidate));
}

std::optional<std::size_t>
rendezvousPick(std::string_view Key,
               const std::vector<std::string> &Candidates) {
  std::optional<std::size_t> Best;
  uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    uint64_t Weight = rendezvousWeight(Key, Candidates[I]);
    if (Best && Weight <= BestWeight)
      continue;
    Best = I;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace crocuslead::base

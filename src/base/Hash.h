#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslead::base {

//! 64-bit hash (FNV-1a with a final mix) that is the same on every instance and
//! in every version.
uint64_t stableHash(std::string_view Text, uint64_t Seed = 0);

//! Weight of Candidate for Key in rendezvous hashing; the highest weight wins.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Candidate);

//! Index of the winning candidate, or none when Candidates is empty.
std::optional<std::size_t>
rendezvousPick(std::string_view Key,
               const std::vector<std::string> &Candidates);

} // namespace crocuslead::base

#pragma once

#include "route/ClaimTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocuslead::app {

//! Keys that this process was granted, and how their requests ended. Outlives
//! the requests: the owner may not have heard of the end when the key is
//! repeated.
class ExecutedKeys {
public:
  static constexpr std::size_t MaxKeys = 50'000;

  explicit ExecutedKeys(std::size_t Capacity = MaxKeys) : Capacity_(Capacity) {}

  void granted(const std::string &Key, uint64_t Fingerprint);
  //! Notes the end of a granted key; other keys are ignored.
  void ended(const std::string &Key, route::ClaimEnd End);
  //! Answer to a repeated key; none when the key was not granted here.
  //! Executor is this instance's id.
  std::optional<route::ClaimReply> find(const std::string &Key,
                                        uint64_t Fingerprint,
                                        const std::string &Executor) const;
  std::size_t size() const { return Keys_.size(); }

private:
  struct Known {
    uint64_t Fingerprint_ = 0;
    std::optional<route::ClaimEnd> End_;
  };

  std::size_t Capacity_;
  std::unordered_map<std::string, Known> Keys_;
  std::deque<std::string> Order_;
};

} // namespace crocuslead::app

#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::route {

//! Requests that wait for a slot, by service and rank. The total is bounded by
//! the owner.
class RequestQueue {
public:
  struct Entry {
    //! Higher ranks are served first and shed last.
    int64_t Rank_ = 0;
    //! Order of arrival of the request.
    uint64_t Order_ = 0;
    uint64_t Request_ = 0;
    base::TimePoint Since_;

    friend bool operator<(const Entry &A, const Entry &B) {
      return A.Rank_ != B.Rank_ ? A.Rank_ > B.Rank_ : A.Order_ < B.Order_;
    }
  };

  explicit RequestQueue(base::Duration StandingLimit)
      : StandingLimit_(StandingLimit) {}

  void add(const std::string &Service, const Entry &Value);
  void remove(const std::string &Service, const Entry &Value);
  std::size_t size() const { return Size_; }
  bool empty(const std::string &Service) const;
  //! Services with waiting requests, highest rank first.
  std::vector<std::string> services() const;
  //! The next requests to serve, at most Limit. The oldest of a rank goes
  //! first; while the queue is standing the newest does, because the oldest
  //! are about to miss their deadlines anyway.
  std::vector<uint64_t> next(const std::string &Service, std::size_t Limit,
                             base::TimePoint Now) const;
  //! The request to shed for one of rank Rank: of the lowest rank, the oldest.
  //! None when no request ranks lower, unless the queue is standing, where one
  //! of the same rank gives way.
  std::optional<uint64_t> victimFor(int64_t Rank, base::TimePoint Now) const;

private:
  using Line = std::set<Entry>;

  bool standing(const Entry &Oldest, base::TimePoint Now) const {
    return Now - Oldest.Since_ > StandingLimit_;
  }

  base::Duration StandingLimit_;
  std::unordered_map<std::string, Line> Lines_;
  std::size_t Size_ = 0;
};

} // namespace crocuslead::route

#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::app {

//! One attempt of a request on an upstream.
struct AttemptRecord {
  std::string Upstream_;
  std::string End_;
  int64_t TookMs_ = 0;
};

//! What happened to one caller's request, for `explain`.
struct RequestRecord {
  std::string Id_;
  std::string Workspace_;
  std::string Target_;
  std::string Key_;
  std::string Claim_;
  std::string Result_;
  int64_t TookMs_ = 0;
  std::vector<AttemptRecord> Attempts_;
};

//! The latest requests of this instance, bounded.
class RequestLog {
public:
  static constexpr std::size_t MaxRecords = 2000;

  void add(RequestRecord Record) {
    Records_.push_back(std::move(Record));
    if (Records_.size() > MaxRecords)
      Records_.pop_front();
  }

  std::optional<RequestRecord> find(const std::string &Id) const {
    for (const RequestRecord &Each : Records_)
      if (Each.Id_ == Id)
        return Each;
    return std::nullopt;
  }

private:
  std::deque<RequestRecord> Records_;
};

} // namespace crocuslead::app

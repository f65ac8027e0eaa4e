#pragma once

#include "base/Clock.h"
#include "http/Server.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>

namespace crocuslead::app {

//! Answers of keyed requests that ran here, for callers that repeat a key.
class AnswerCache {
public:
  static constexpr std::size_t MaxBytes = 16U << 20U;
  static constexpr std::size_t MaxAnswerBytes = 256U << 10U;
  static constexpr auto KeepFor = std::chrono::minutes(5);

  //! Keeps an answer; one above MaxAnswerBytes is not kept. The oldest make
  //! room.
  void keep(const std::string &Key, http::Response Answer, base::TimePoint Now);
  //! Answer of a key, or nullptr.
  const http::Response *find(const std::string &Key, base::TimePoint Now);

  std::size_t bytes() const { return Bytes_; }

private:
  struct Kept {
    std::string Key_;
    http::Response Answer_;
    base::TimePoint At_;
  };
  using Order = std::list<Kept>;

  void dropOldest();
  void expire(base::TimePoint Now);
  static std::size_t sizeOf(const Kept &Value);

  Order Order_;
  std::map<std::string, Order::iterator> ByKey_;
  std::size_t Bytes_ = 0;
};

} // namespace crocuslead::app

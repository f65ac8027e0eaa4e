#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace crocuslead::jobs {

//! Payloads of jobs that this instance has accepted, or has sent starts of. The
//! oldest ones go first.
class PayloadCache {
public:
  explicit PayloadCache(std::size_t MaxBytes) : MaxBytes_(MaxBytes) {}

  //! Replaces the payload of a former job with this id.
  void add(const std::string &Job, const std::string &Payload);
  //! Null if it is not known.
  const std::string *find(const std::string &Job) const;
  std::size_t bytes() const { return Bytes_; }

private:
  std::size_t MaxBytes_;
  std::size_t Bytes_ = 0;
  std::unordered_map<std::string, std::string> Payloads_;
  //! By age.
  std::deque<std::string> Jobs_;
};

} // namespace crocuslead::jobs

#pragma once

#include <nlohmann/json_fwd.hpp>

namespace crocuslead::jobs::internal {

//! Of which tasks the progress of jobs covers every start of a term and of
//! those before it.
struct RecordedStarts {
  bool Finite_ = false;
  bool LongRunning_ = false;

  bool of(bool LongRunning) const {
    return LongRunning ? LongRunning_ : Finite_;
  }
  //! Adds starts_recorded and long_running_starts_recorded.
  void toJson(nlohmann::json &Out) const;
  //! Records of earlier versions have neither.
  static RecordedStarts fromJson(const nlohmann::json &In);
};

} // namespace crocuslead::jobs::internal

#pragma once

#include <string>
#include <string_view>

namespace crocuslead::jobs {

//! Layout of the store's keys for jobs.
//!   office/holder, office/term       the election
//!   jobs/ID/spec, jobs/ID/cancel     written by the instance that answers
//!   state/progress/ID, state/workers written by the coordinator alone
//!   state/sequence                   changed by each of its commits
struct JobKeys {
  static constexpr std::string_view Office = "crocuslead/office/";
  static constexpr std::string_view Jobs = "crocuslead/jobs/";
  static constexpr std::string_view Work = "crocuslead/state/";

  static std::string folder(const std::string &Id) {
    return std::string(Jobs) + Id + "/";
  }
  static std::string spec(const std::string &Id) { return folder(Id) + "spec"; }
  static std::string cancel(const std::string &Id) {
    return folder(Id) + "cancel";
  }
  static std::string sequence() { return std::string(Work) + "sequence"; }
  static std::string progress(const std::string &Id) {
    return std::string(Work) + "progress/" + Id;
  }
};

} // namespace crocuslead::jobs

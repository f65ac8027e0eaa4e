#pragma once

#include <string>
#include <string_view>

namespace crocuslead::jobs {

//! Layout of the job keys in the store.
//!   office/holder, office/term,      coordinator election
//!   office/unused-terms
//!   jobs/ID/spec, jobs/ID/cancel     written by the instance that answers the
//!                                    caller
//!   payloads/ID                      written together with a job's record;
//!   read
//!                                    by instances that start its tasks
//!   state/progress/ID, state/workers written only by the coordinator
//!   state/last-commit                its age, and what the records cover
//!   state/handover                   the last record of a coordinator that
//!                                    resigned
//!   state/sequence                   changed by each of the coordinator's
//!                                    commits
struct JobKeys {
  static constexpr std::string_view ElectionPrefix = "crocuslead/office/";
  static constexpr std::string_view JobsPrefix = "crocuslead/jobs/";
  static constexpr std::string_view PayloadsPrefix = "crocuslead/payloads/";
  static constexpr std::string_view StatePrefix = "crocuslead/state/";

  static std::string jobPrefix(const std::string &Id) {
    return std::string(JobsPrefix) + Id + "/";
  }
  static std::string spec(const std::string &Id) {
    return jobPrefix(Id) + "spec";
  }
  static std::string payload(const std::string &Id) {
    return std::string(PayloadsPrefix) + Id;
  }
  static std::string cancel(const std::string &Id) {
    return jobPrefix(Id) + "cancel";
  }
  static std::string sequence() {
    return std::string(StatePrefix) + "sequence";
  }
  static std::string handover() {
    return std::string(StatePrefix) + "handover";
  }
  static std::string progress(const std::string &Id) {
    return std::string(StatePrefix) + "progress/" + Id;
  }
};

} // namespace crocuslead::jobs

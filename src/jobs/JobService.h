#pragma once

#include "base/Clock.h"
#include "base/Metrics.h"
#include "http/Client.h"
#include "jobs/CoordinatorHost.h"
#include "jobs/Election.h"
#include "jobs/JobRecord.h"
#include "store/KeyValueStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocuslead::jobs {

//! Answers callers on any instance: accepts and cancels jobs by writing to the
//! store, and reads states from the coordinator or, when it does not answer,
//! from the store.
class JobService {
public:
  enum class Change : uint8_t {
    //! Durable, now or before.
    Done,
    //! Certainly not written.
    NotDone,
    //! No answer by the deadline; the write may still take effect.
    Unknown,
  };
  enum class Lookup : uint8_t { Found, NoSuchJob, Unavailable };
  using ChangeDone = std::function<void(Change)>;
  using StateDone = std::function<void(Lookup, JobState)>;
  using WaitingDone = std::function<void(std::optional<std::size_t>)>;

  JobService(store::KeyValueStore &Store, http::Client &Client,
             const base::Clock &Clock, base::MetricsRegistry &Metrics,
             Election &Office, CoordinatorHost &Host);
  JobService(const JobService &) = delete;
  JobService &operator=(const JobService &) = delete;
  ~JobService();

  //! A repeated Id is Done without a second job.
  void submit(const std::string &Id, const std::string &Queue, JobSpec Spec,
              base::TimePoint Deadline, ChangeDone Done);
  void cancel(const std::string &Id, base::TimePoint Deadline, ChangeDone Done);
  void state(const std::string &Id, base::TimePoint Deadline, StateDone Done);
  //! Jobs of a queue that have not started; none when no coordinator answers.
  void waiting(const std::string &Queue, base::TimePoint Deadline,
               WaitingDone Done);

  //! Answers another instance's question as the coordinator.
  http::Response answerPeer(const http::Request &Request) const;
  void tick();

private:
  struct Writing;
  void write(const std::shared_ptr<Writing> &Job);
  void wrote(const std::shared_ptr<Writing> &Job,
             const store::StoreResult<store::TxnReply> &Result);
  void readState(const std::string &Id, StateDone Done);
  void askHolder(const std::string &Path, base::TimePoint Deadline,
                 http::Client::Callback Done);
  base::TimePoint now() const { return Clock_.now(); }

  store::KeyValueStore &Store_;
  http::Client &Client_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  Election &Election_;
  CoordinatorHost &Host_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
  //! Writes that wait for their next try.
  std::vector<std::pair<base::TimePoint, std::shared_ptr<Writing>>> Retries_;
  uint64_t NextQuestion_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<http::Exchange>> Questions_;
};

} // namespace crocuslead::jobs

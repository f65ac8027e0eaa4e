#pragma once

#include "base/Clock.h"
#include "base/Metrics.h"
#include "http/Client.h"
#include "jobs/CoordinatorHost.h"
#include "jobs/Election.h"
#include "jobs/JobRecord.h"
#include "jobs/PayloadCache.h"
#include "store/KeyValueStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocuslead::jobs {

//! Serves callers on every instance. Accepts and cancels jobs by writing to the
//! store. Reads job states from the coordinator, or from the store if the
//! coordinator does not answer.
class JobService {
public:
  //! Address is that at which other instances reach this one.
  enum class WriteOutcome : uint8_t {
    //! Durable, written by this call or already present.
    Committed,
    //! Known not to be written.
    NotWritten,
    //! No answer before the deadline; the write may still take effect.
    Unknown,
  };
  enum class LookupStatus : uint8_t { Found, NoSuchJob, Unavailable };
  using WriteCallback = std::function<void(WriteOutcome)>;
  using StateCallback = std::function<void(LookupStatus, JobState)>;
  using CountCallback = std::function<void(std::optional<std::size_t>)>;

  JobService(store::KeyValueStore &Store, http::RequestClient &Client,
             const base::Clock &Clock, base::MetricsRegistry &Metrics,
             Election &LeaderElection, CoordinatorHost &Host,
             PayloadCache &Payloads, std::string Address, RecordFormat Format);
  JobService(const JobService &) = delete;
  JobService &operator=(const JobService &) = delete;
  ~JobService();

  //! Submitting a known Id again reports Committed and creates no second job.
  void submit(const std::string &Id, const std::string &Queue, JobSpec Spec,
              base::TimePoint Deadline, WriteCallback Done);
  void cancel(const std::string &Id, base::TimePoint Deadline,
              WriteCallback Done);
  void state(const std::string &Id, base::TimePoint Deadline,
             StateCallback Done);
  //! Number of jobs of a queue that have not started; nullopt if no coordinator
  //! answers.
  void waitingJobs(const std::string &Queue, base::TimePoint Deadline,
                   CountCallback Done);

  //! Answers a request of another instance to the coordinator.
  http::Response handlePeerRequest(const http::Request &Request) const;
  void tick();

private:
  struct PendingWrite;
  void write(const std::shared_ptr<PendingWrite> &Write);
  void handleWriteResult(const std::shared_ptr<PendingWrite> &Write,
                         const store::StoreResult<store::TxnReply> &Result);
  void readState(const std::string &Id, StateCallback Done);
  void queryCoordinator(const std::string &Path, base::TimePoint Deadline,
                        http::RequestClient::Callback Done);
  base::TimePoint now() const { return Clock_.now(); }

  store::KeyValueStore &Store_;
  http::RequestClient &Client_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  Election &Election_;
  CoordinatorHost &Host_;
  //! For the instances that start the tasks of jobs accepted here.
  PayloadCache &Payloads_;
  //! At which they ask for them.
  std::string Address_;
  RecordFormat Format_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
  //! Writes that are due for another attempt, with its time.
  std::vector<std::pair<base::TimePoint, std::shared_ptr<PendingWrite>>>
      Retries_;
  uint64_t NextPeerQuery_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<http::Exchange>> PeerQueries_;
};

} // namespace crocuslead::jobs

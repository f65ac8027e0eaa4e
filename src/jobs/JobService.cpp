#include "jobs/JobService.h"

#include "base/Log.h"
#include "jobs/JobKeys.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

using nlohmann::json;

constexpr auto WriteRetry = std::chrono::milliseconds(60);
// A store that refuses for this long is given up for this call: the caller is
// told at once when to come back, and may meet another instance.
constexpr auto RefusedWriteTime = std::chrono::milliseconds(1200);
// Longest wait for the coordinator; the store is asked after it.
constexpr auto AskTimeout = std::chrono::milliseconds(600);
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusMisdirected = 421;
constexpr std::string_view JobPath = "/v1/jobs/";
constexpr std::string_view QueuePath = "/v1/queues/";

http::Response jsonAnswer(int Status, const json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

//! One write on the way to the store, with its retries.
struct JobService::Writing {
  std::string Id_;
  const char *What_ = "";
  store::Txn Request_;
  base::TimePoint Begun_;
  base::TimePoint Deadline_;
  int Tries_ = 0;
  //! A try without an answer may take effect later.
  bool MayApply_ = false;
  ChangeDone Done_;
};

JobService::JobService(store::KeyValueStore &Store, http::Client &Client,
                       const base::Clock &Clock, base::MetricsRegistry &Metrics,
                       Election &Office, CoordinatorHost &Host)
    : Store_(Store), Client_(Client), Clock_(Clock), Metrics_(Metrics),
      Election_(Office), Host_(Host) {}

JobService::~JobService() = default;

void JobService::submit(const std::string &Id, const std::string &Queue,
                        JobSpec Spec, base::TimePoint Deadline,
                        ChangeDone Done) {
  auto Job = std::make_shared<Writing>();
  Job->Id_ = Id;
  Job->What_ = "submit";
  Job->Request_.Compares_ = {
      {JobKeys::spec(Id), store::CompareTarget::ModRevision, 0}};
  Job->Request_.Puts_ = {
      {JobKeys::spec(Id),
       encode(JobRecord{Queue, std::move(Spec), Clock_.wallNow()}), 0}};
  Job->Begun_ = now();
  Job->Deadline_ = Deadline;
  Job->Done_ = std::move(Done);
  write(Job);
}

void JobService::cancel(const std::string &Id, base::TimePoint Deadline,
                        ChangeDone Done) {
  auto Job = std::make_shared<Writing>();
  Job->Id_ = Id;
  Job->What_ = "cancel";
  Job->Request_.Puts_ = {
      {JobKeys::cancel(Id),
       std::to_string(Clock_.wallNow().time_since_epoch().count()), 0}};
  Job->Begun_ = now();
  Job->Deadline_ = Deadline;
  Job->Done_ = std::move(Done);
  write(Job);
}

void JobService::write(const std::shared_ptr<Writing> &Job) {
  ++Job->Tries_;
  Store_.txn(Job->Request_,
             [this, Weak = std::weak_ptr<int>(Alive_),
              Job](const store::StoreResult<store::TxnReply> &Result) {
               if (!Weak.expired())
                 wrote(Job, Result);
             });
}

void JobService::wrote(const std::shared_ptr<Writing> &Job,
                       const store::StoreResult<store::TxnReply> &Result) {
  const auto *Failure = std::get_if<store::StoreError>(&Result);
  std::optional<Change> Outcome;
  // A refused condition means that the job is stored already.
  if (Failure == nullptr)
    Outcome = Change::Done;
  else
    Job->MayApply_ = Job->MayApply_ || Failure->MayHaveApplied_;
  base::TimePoint GiveUp = Job->Deadline_;
  if (!Job->MayApply_)
    GiveUp = std::min(GiveUp, Job->Begun_ + RefusedWriteTime);
  if (!Outcome && now() + WriteRetry >= GiveUp)
    Outcome = Job->MayApply_ ? Change::Unknown : Change::NotDone;
  if (!Outcome) {
    Retries_.emplace_back(now() + WriteRetry, Job);
    return;
  }
  bool Good = *Outcome == Change::Done;
  base::logEvent(Good ? base::LogLevel::Info : base::LogLevel::Warn,
                 "job-write",
                 {{"job", Job->Id_},
                  {"call", Job->What_},
                  {"outcome", Good                          ? "done"
                              : *Outcome == Change::Unknown ? "unknown"
                                                            : "not-done"},
                  {"tries", Job->Tries_},
                  {"took_ms", base::toMillis(now() - Job->Begun_)},
                  {"store_contact_age_ms",
                   base::toMillis(Election_.timeSinceStoreContact())},
                  {"reason", Failure != nullptr ? Failure->Message_ : ""}});
  Metrics_
      .histogram("crocuslead_job_write_seconds",
                 "Duration of submit and cancel calls.",
                 {{"call", Job->What_}, {"done", Good ? "true" : "false"}})
      .record(now() - Job->Begun_);
  auto Done = std::move(Job->Done_);
  Done(*Outcome);
}

void JobService::tick() {
  for (std::size_t I = 0; I < Retries_.size();) {
    if (Retries_[I].first > now()) {
      ++I;
      continue;
    }
    auto Job = std::move(Retries_[I].second);
    Retries_.erase(Retries_.begin() + static_cast<std::ptrdiff_t>(I));
    write(Job);
  }
}

void JobService::askHolder(const std::string &Path, base::TimePoint Deadline,
                           http::Client::Callback Done) {
  auto Leader = Election_.leader();
  if (!Leader || Election_.isLeader()) {
    http::ExchangeResult None;
    None.Failure_ = http::ExchangeFailure::ConnectFailed;
    Done(std::move(None));
    return;
  }
  http::ClientRequest Request;
  Request.Url_ = "http://" + Leader->Address_ + Path;
  base::Duration Left = (Deadline - now()) / 2;
  Request.Timeout_ = std::clamp<base::Duration>(
      Left, std::chrono::milliseconds(1), AskTimeout);
  Request.ConnectTimeout_ = Request.Timeout_;
  uint64_t Number = NextQuestion_++;
  auto Exchange =
      Client_.send(std::move(Request),
                   [this, Weak = std::weak_ptr<int>(Alive_), Number,
                    Done = std::move(Done)](http::ExchangeResult Result) {
                     if (Weak.expired())
                       return;
                     auto Self = std::move(Questions_[Number]);
                     Questions_.erase(Number);
                     Done(std::move(Result));
                   });
  Questions_[Number] = std::move(Exchange);
}

void JobService::state(const std::string &Id, base::TimePoint Deadline,
                       StateDone Done) {
  if (const Coordinator *Local = Host_.active()) {
    if (auto State = Local->state(Id)) {
      Done(Lookup::Found, *State);
      return;
    }
    readState(Id, std::move(Done));
    return;
  }
  askHolder(std::string(JobPath) + Id, Deadline,
            [this, Id, Done = std::move(Done)](
                const http::ExchangeResult &Result) mutable {
              if (Result.Failure_ == http::ExchangeFailure::None &&
                  Result.Answer_.Status_ == StatusOk) {
                json Body = json::parse(Result.Answer_.Body_, nullptr, false);
                if (Body.is_object())
                  if (auto State = parseJobState(Body.value("state", ""))) {
                    Done(Lookup::Found, *State);
                    return;
                  }
              }
              readState(Id, std::move(Done));
            });
}

// The progress is read before the job, so that a job whose record expires in
// between is not shown without its end.
void JobService::readState(const std::string &Id, StateDone Done) {
  Store_.range(
      JobKeys::progress(Id), "",
      [this, Id, Weak = std::weak_ptr<int>(Alive_), Done = std::move(Done)](
          const store::StoreResult<store::RangeReply> &Work) mutable {
        if (Weak.expired())
          return;
        const auto *Read = std::get_if<store::RangeReply>(&Work);
        if (Read == nullptr) {
          Done(Lookup::Unavailable, JobState::Queued);
          return;
        }
        JobState Known = JobState::Queued;
        if (!Read->Values_.empty())
          boost::leaf::try_handle_all(
              [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(
                    Progress, decodeJobProgress(Read->Values_.front().Value_));
                Known = Progress.State_;
                return {};
              },
              [&](const base::Error &Failure) {
                base::logEvent(base::LogLevel::Error,
                               "stored-record-unreadable",
                               {{"job", Id}, {"reason", Failure.Message_}});
              },
              [] {});
        std::string Prefix = JobKeys::jobPrefix(Id);
        Store_.range(Prefix, store::prefixEnd(Prefix),
                     [Id, Known, Done = std::move(Done)](
                         const store::StoreResult<store::RangeReply> &Job) {
                       const auto *Keys = std::get_if<store::RangeReply>(&Job);
                       if (Keys == nullptr) {
                         Done(Lookup::Unavailable, JobState::Queued);
                         return;
                       }
                       bool Exists = false;
                       bool Cancelled = false;
                       for (const store::KeyValue &Each : Keys->Values_) {
                         Exists = Exists || Each.Key_ == JobKeys::spec(Id);
                         Cancelled =
                             Cancelled || Each.Key_ == JobKeys::cancel(Id);
                       }
                       if (!Exists)
                         Done(Lookup::NoSuchJob, JobState::Queued);
                       else
                         Done(Lookup::Found, Cancelled && !isFinal(Known)
                                                 ? JobState::Cancelled
                                                 : Known);
                     });
      });
}

void JobService::waiting(const std::string &Queue, base::TimePoint Deadline,
                         WaitingDone Done) {
  if (const Coordinator *Local = Host_.active()) {
    Done(Local->waitingJobs(Queue));
    return;
  }
  askHolder(std::string(QueuePath) + Queue, Deadline,
            [Done = std::move(Done)](const http::ExchangeResult &Result) {
              if (Result.Failure_ == http::ExchangeFailure::None &&
                  Result.Answer_.Status_ == StatusOk) {
                json Body = json::parse(Result.Answer_.Body_, nullptr, false);
                if (Body.is_object() && Body.contains("waiting")) {
                  Done(Body.value("waiting", std::size_t{0}));
                  return;
                }
              }
              Done(std::nullopt);
            });
}

http::Response JobService::answerPeer(const http::Request &Request) const {
  const Coordinator *Local = Host_.active();
  if (Local == nullptr)
    return jsonAnswer(StatusMisdirected, {{"error", "not-owner"}});
  const std::string &Path = Request.Target_;
  if (Path.compare(0, JobPath.size(), JobPath) == 0) {
    auto State = Local->state(Path.substr(JobPath.size()));
    return State ? jsonAnswer(StatusOk, {{"state", jobStateName(*State)}})
                 : jsonAnswer(StatusNotFound, {{"error", "not-found"}});
  }
  if (Path.compare(0, QueuePath.size(), QueuePath) == 0)
    return jsonAnswer(
        StatusOk,
        {{"waiting", Local->waitingJobs(Path.substr(QueuePath.size()))}});
  return jsonAnswer(StatusNotFound, {{"error", "not-found"}});
}

} // namespace crocuslead::jobs

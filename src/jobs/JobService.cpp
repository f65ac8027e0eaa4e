#include "jobs/JobService.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "jobs/JobKeys.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

using nlohmann::json;

constexpr auto WriteRetryDelay = std::chrono::milliseconds(60);
// A write that the store keeps rejecting is abandoned after this time, so that
// the caller learns early when to retry, possibly on another instance.
constexpr auto RejectedWriteTimeout = std::chrono::milliseconds(1200);
// Longest wait for the coordinator; after that the store is read instead.
constexpr auto PeerQueryTimeout = std::chrono::milliseconds(600);
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusMisdirectedRequest = 421;
constexpr std::string_view JobPath = "/v1/jobs/";
constexpr std::string_view QueuePath = "/v1/queues/";

http::Response jsonAnswer(int Status, const json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

//! A write to the store that is in progress, including its retries.
struct JobService::PendingWrite {
  std::string Id_;
  const char *Call_ = "";
  //! Of a submitted job, if it is stored apart.
  std::string Payload_;
  store::Txn Request_;
  base::TimePoint StartedAt_;
  base::TimePoint Deadline_;
  int Attempts_ = 0;
  //! An attempt was not answered, so it may have taken or still take effect.
  bool MayHaveApplied_ = false;
  WriteCallback Done_;
};

JobService::JobService(store::KeyValueStore &Store, http::RequestClient &Client,
                       const base::Clock &Clock, base::MetricsRegistry &Metrics,
                       Election &LeaderElection, CoordinatorHost &Host,
                       PayloadCache &Payloads, std::string Address,
                       RecordFormat Format)
    : Store_(Store), Client_(Client), Clock_(Clock), Metrics_(Metrics),
      Election_(LeaderElection), Host_(Host), Payloads_(Payloads),
      Address_(std::move(Address)), Format_(Format) {}

JobService::~JobService() = default;

void JobService::submit(const std::string &Id, const std::string &Queue,
                        JobSpec Spec, base::TimePoint Deadline,
                        WriteCallback Done) {
  auto Write = std::make_shared<PendingWrite>();
  Write->Id_ = Id;
  Write->Call_ = "submit";
  Write->Request_.Compares_ = {
      {JobKeys::spec(Id), store::CompareTarget::ModRevision, 0}};
  JobRecord Record{Queue, std::move(Spec), Clock_.wallNow(), Address_};
  std::string &Payload = Record.Spec_.Payload_;
  if (Format_ == RecordFormat::PayloadsApart &&
      Payload.size() > MaxInlinePayload) {
    Record.PayloadApart_ = true;
    Record.PayloadHash_ = base::stableHash(Payload);
    Write->Payload_ = std::move(Payload);
    Payload.clear();
    Write->Request_.Puts_.push_back({JobKeys::payload(Id), Write->Payload_, 0});
  }
  Write->Request_.Puts_.push_back({JobKeys::spec(Id), encode(Record), 0});
  Write->StartedAt_ = now();
  Write->Deadline_ = Deadline;
  Write->Done_ = std::move(Done);
  write(Write);
}

void JobService::cancel(const std::string &Id, base::TimePoint Deadline,
                        WriteCallback Done) {
  auto Write = std::make_shared<PendingWrite>();
  Write->Id_ = Id;
  Write->Call_ = "cancel";
  Write->Request_.Puts_ = {
      {JobKeys::cancel(Id),
       std::to_string(Clock_.wallNow().time_since_epoch().count()), 0}};
  Write->StartedAt_ = now();
  Write->Deadline_ = Deadline;
  Write->Done_ = std::move(Done);
  write(Write);
}

void JobService::write(const std::shared_ptr<PendingWrite> &Write) {
  ++Write->Attempts_;
  Store_.txn(Write->Request_,
             [this, Weak = std::weak_ptr<int>(Alive_),
              Write](const store::StoreResult<store::TxnReply> &Result) {
               if (!Weak.expired())
                 handleWriteResult(Write, Result);
             });
}

void JobService::handleWriteResult(
    const std::shared_ptr<PendingWrite> &Write,
    const store::StoreResult<store::TxnReply> &Result) {
  const auto *Failure = std::get_if<store::StoreError>(&Result);
  std::optional<WriteOutcome> Outcome;
  // If the condition of the transaction failed, the job is already stored,
  // possibly with another payload.
  if (const auto *Reply = std::get_if<store::TxnReply>(&Result);
      Reply != nullptr && Reply->Succeeded_ && !Write->Payload_.empty())
    Payloads_.add(Write->Id_, Write->Payload_);
  if (Failure == nullptr)
    Outcome = WriteOutcome::Committed;
  else
    Write->MayHaveApplied_ = Write->MayHaveApplied_ || Failure->MayHaveApplied_;
  base::TimePoint GiveUp = Write->Deadline_;
  if (!Write->MayHaveApplied_)
    GiveUp = std::min(GiveUp, Write->StartedAt_ + RejectedWriteTimeout);
  if (!Outcome && now() + WriteRetryDelay >= GiveUp)
    Outcome = Write->MayHaveApplied_ ? WriteOutcome::Unknown
                                     : WriteOutcome::NotWritten;
  if (!Outcome) {
    Retries_.emplace_back(now() + WriteRetryDelay, Write);
    return;
  }
  bool Committed = *Outcome == WriteOutcome::Committed;
  base::logEvent(Committed ? base::LogLevel::Info : base::LogLevel::Warn,
                 "job-write",
                 {{"job", Write->Id_},
                  {"call", Write->Call_},
                  {"outcome", Committed                           ? "done"
                              : *Outcome == WriteOutcome::Unknown ? "unknown"
                                                                  : "not-done"},
                  {"tries", Write->Attempts_},
                  {"took_ms", base::toMillis(now() - Write->StartedAt_)},
                  {"store_contact_age_ms",
                   base::toMillis(Election_.timeSinceStoreContact())},
                  {"reason", Failure != nullptr ? Failure->Message_ : ""}});
  Metrics_
      .histogram(
          "crocuslead_job_write_seconds",
          "Duration of submit and cancel calls.",
          {{"call", Write->Call_}, {"done", Committed ? "true" : "false"}})
      .record(now() - Write->StartedAt_);
  auto Done = std::move(Write->Done_);
  Done(*Outcome);
}

void JobService::tick() {
  for (std::size_t I = 0; I < Retries_.size();) {
    if (Retries_[I].first > now()) {
      ++I;
      continue;
    }
    auto Write = std::move(Retries_[I].second);
    Retries_.erase(Retries_.begin() + static_cast<std::ptrdiff_t>(I));
    write(Write);
  }
}

void JobService::queryCoordinator(const std::string &Path,
                                  base::TimePoint Deadline,
                                  http::RequestClient::Callback Done) {
  auto Leader = Election_.leader();
  if (!Leader || Election_.isLeader()) {
    http::ExchangeResult NoLeader;
    NoLeader.Failure_ = http::ExchangeFailure::ConnectFailed;
    Done(std::move(NoLeader));
    return;
  }
  http::ClientRequest Request;
  Request.Url_ = "http://" + Leader->Address_ + Path;
  base::Duration Timeout = (Deadline - now()) / 2;
  Request.Timeout_ = std::clamp<base::Duration>(
      Timeout, std::chrono::milliseconds(1), PeerQueryTimeout);
  Request.ConnectTimeout_ = Request.Timeout_;
  uint64_t QueryNumber = NextPeerQuery_++;
  auto Exchange =
      Client_.send(std::move(Request),
                   [this, Weak = std::weak_ptr<int>(Alive_), QueryNumber,
                    Done = std::move(Done)](http::ExchangeResult Result) {
                     if (Weak.expired())
                       return;
                     auto Self = std::move(PeerQueries_[QueryNumber]);
                     PeerQueries_.erase(QueryNumber);
                     Done(std::move(Result));
                   });
  PeerQueries_[QueryNumber] = std::move(Exchange);
}

void JobService::state(const std::string &Id, base::TimePoint Deadline,
                       StateCallback Done) {
  if (const Coordinator *Local = Host_.active()) {
    if (auto State = Local->state(Id)) {
      Done(LookupStatus::Found, *State);
      return;
    }
    readState(Id, std::move(Done));
    return;
  }
  queryCoordinator(
      std::string(JobPath) + Id, Deadline,
      [this, Id,
       Done = std::move(Done)](const http::ExchangeResult &Result) mutable {
        if (Result.Failure_ == http::ExchangeFailure::None &&
            Result.Answer_.Status_ == StatusOk) {
          json Body = json::parse(Result.Answer_.Body_, nullptr, false);
          if (Body.is_object() && Body.contains("state") &&
              Body["state"].is_string())
            if (auto State = parseJobState(Body["state"].get<std::string>())) {
              Done(LookupStatus::Found, *State);
              return;
            }
        }
        readState(Id, std::move(Done));
      });
}

// Reads the progress before the job record. In the reverse order, a job whose
// records are removed in between would be reported without its final state.
void JobService::readState(const std::string &Id, StateCallback Done) {
  Store_.range(
      JobKeys::progress(Id), "",
      [this, Id, Weak = std::weak_ptr<int>(Alive_), Done = std::move(Done)](
          const store::StoreResult<store::RangeReply> &ProgressResult) mutable {
        if (Weak.expired())
          return;
        const auto *ProgressReply =
            std::get_if<store::RangeReply>(&ProgressResult);
        if (ProgressReply == nullptr) {
          Done(LookupStatus::Unavailable, JobState::Queued);
          return;
        }
        JobState State = JobState::Queued;
        if (!ProgressReply->Values_.empty())
          boost::leaf::try_handle_all(
              [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(
                    Progress,
                    decodeJobProgress(ProgressReply->Values_.front().Value_));
                State = Progress.State_;
                return {};
              },
              [&](const base::Error &Failure) {
                base::logEvent(base::LogLevel::Error,
                               "stored-record-unreadable",
                               {{"job", Id}, {"reason", Failure.Message_}});
              },
              [] {});
        std::string Prefix = JobKeys::jobPrefix(Id);
        Store_.range(
            Prefix, store::prefixEnd(Prefix),
            [Id, State, Done = std::move(Done)](
                const store::StoreResult<store::RangeReply> &JobResult) {
              const auto *JobReply = std::get_if<store::RangeReply>(&JobResult);
              if (JobReply == nullptr) {
                Done(LookupStatus::Unavailable, JobState::Queued);
                return;
              }
              bool Exists = false;
              bool Cancelled = false;
              for (const store::KeyValue &Entry : JobReply->Values_) {
                Exists = Exists || Entry.Key_ == JobKeys::spec(Id);
                Cancelled = Cancelled || Entry.Key_ == JobKeys::cancel(Id);
              }
              if (!Exists)
                Done(LookupStatus::NoSuchJob, JobState::Queued);
              else
                Done(LookupStatus::Found, Cancelled && !isFinal(State)
                                              ? JobState::Cancelled
                                              : State);
            });
      });
}

void JobService::waitingJobs(const std::string &Queue, base::TimePoint Deadline,
                             CountCallback Done) {
  if (const Coordinator *Local = Host_.active()) {
    Done(Local->waitingJobs(Queue));
    return;
  }
  queryCoordinator(
      std::string(QueuePath) + Queue, Deadline,
      [Done = std::move(Done)](const http::ExchangeResult &Result) {
        if (Result.Failure_ == http::ExchangeFailure::None &&
            Result.Answer_.Status_ == StatusOk) {
          json Body = json::parse(Result.Answer_.Body_, nullptr, false);
          if (Body.is_object() && Body.contains("waiting") &&
              Body["waiting"].is_number_unsigned()) {
            Done(Body["waiting"].get<std::size_t>());
            return;
          }
        }
        Done(std::nullopt);
      });
}

http::Response
JobService::handlePeerRequest(const http::Request &Request) const {
  const Coordinator *Local = Host_.active();
  if (Local == nullptr)
    return jsonAnswer(StatusMisdirectedRequest, {{"error", "not-owner"}});
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

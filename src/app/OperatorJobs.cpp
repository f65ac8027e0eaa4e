#include "app/JobJson.h"
#include "app/OperatorApi.h"
#include "app/internal/OperatorParse.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

constexpr char DomainSeparator = '@';

} // namespace

std::string OperatorApi::homeOf(const std::string &JobId) const {
  std::size_t At = JobId.rfind(DomainSeparator);
  std::vector<partition::PartitionInfo> Candidates;
  for (const partition::PartitionInfo &Each : Host_.partitions())
    if (At == std::string::npos || Each.Domain_ == JobId.substr(At + 1))
      Candidates.push_back(Each);
  return Candidates.empty() ? std::string()
                            : partition::homePartition(JobId, Candidates);
}

std::vector<std::string> OperatorApi::partsOf(const std::string &JobId) const {
  std::vector<std::string> Out{JobId};
  if (JobId.find(DomainSeparator) != std::string::npos)
    return Out;
  for (const auto &[Name, Domain] :
       Session_.config().configuration().Domains_) {
    Out.push_back(JobId);
    Out.back().append(1, DomainSeparator).append(Name);
  }
  return Out;
}

void OperatorApi::submitJob(const Call &Received) {
  const std::shared_ptr<http::Responder> &Out = Received.Out_;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Job, parseJob(Received.Request_.Body_));
        const auto &Workspaces = Session_.config().configuration().Workspaces_;
        if (Workspaces.count(Job.Workspace_) == 0)
          return base::fail(base::ErrorKind::NotFound,
                            "job: no workspace '" + Job.Workspace_ + "'");
        if (Job.Id_.find(DomainSeparator) != std::string::npos)
          return base::fail(base::ErrorKind::InvalidRequest,
                            "job: field 'id': '@' is reserved");
        bool IsService = Job.Class_ == schedule::TaskClass::LatencyCritical &&
                         Job.TaskCount_ > 1 && !Job.Gang_;
        if (IsService)
          submitParts(Out, Job);
        else
          Calls_.call(
              homeOf(Job.Id_), "submit", writeJob(Job),
              [Out](CallAnswer Answer) { sendJson(Out, std::move(Answer)); });
        return {};
      },
      [&](const base::Error &Failure) {
        sendJson(Out, errorCallAnswer(Failure.Kind_, Failure.Message_));
      },
      [&] {
        sendJson(Out,
                 errorCallAnswer(base::ErrorKind::Internal, "invalid job"));
      });
}

void OperatorApi::submitParts(const std::shared_ptr<http::Responder> &Out,
                              const partition::JobSpec &Job) {
  // The division depends only on the domain list, so a repeated submission
  // makes the same parts, which their home partitions deduplicate.
  const auto &Domains = Session_.config().configuration().Domains_;
  auto Count = static_cast<uint32_t>(Domains.size());
  struct Gathered {
    json Parts_ = json::array();
    CallAnswer Worst_;
    std::size_t Missing_ = 0;
  };
  auto Sum = std::make_shared<Gathered>();
  std::vector<partition::JobSpec> Parts;
  uint32_t Index = 0;
  for (const auto &[Name, Domain] : Domains) {
    partition::JobSpec Part = Job;
    Part.Id_ = Job.Id_ + DomainSeparator + Name;
    Part.TaskCount_ =
        Job.TaskCount_ / Count + (Index < Job.TaskCount_ % Count ? 1 : 0);
    ++Index;
    if (Part.TaskCount_ > 0)
      Parts.push_back(std::move(Part));
  }
  Sum->Missing_ = Parts.size();
  if (Parts.empty())
    sendJson(Out, errorCallAnswer(base::ErrorKind::Infeasible,
                                  "no failure domain is configured"));
  for (const partition::JobSpec &Part : Parts)
    Calls_.call(homeOf(Part.Id_), "submit", writeJob(Part),
                [Sum, Out, Id = Part.Id_, Job = Job.Id_](CallAnswer Answer) {
                  Sum->Parts_.push_back(Id);
                  if (Answer.Status_ > Sum->Worst_.Status_)
                    Sum->Worst_ = std::move(Answer);
                  if (--Sum->Missing_ > 0)
                    return;
                  if (Sum->Worst_.Status_ == 200)
                    Sum->Worst_.Body_ =
                        json{{"job", Job}, {"parts", Sum->Parts_}}.dump();
                  sendJson(Out, std::move(Sum->Worst_));
                });
}

void OperatorApi::listJobs(const Call &Received) {
  Calls_.callAll(
      "jobs", "",
      [Out = Received.Out_](const std::map<std::string, CallAnswer> &Answers) {
        sendJson(Out, mergeRows(Answers, "id"));
      });
}

void OperatorApi::showJob(const Call &Received) {
  Calls_.callAll("job", Received.Name_,
                 [this, Out = Received.Out_, Id = Received.Name_](
                     const std::map<std::string, CallAnswer> &Answers) {
                   json Found = json::array();
                   for (const auto &[Partition, Answer] : Answers) {
                     json Row = json::parse(Answer.Body_, nullptr, false);
                     if (Answer.Status_ != 200 || !Row.is_object())
                       continue;
                     Row["partition"] = Partition;
                     Found.push_back(std::move(Row));
                   }
                   if (!Found.empty()) {
                     sendJson(Out, {200, json{{"records", Found}}.dump()});
                     return;
                   }
                   // Parts of a service are jobs of their own.
                   json Parts = json::array();
                   for (const std::string &Part : partsOf(Id))
                     Parts.push_back(Part);
                   sendJson(Out,
                            errorCallAnswer(base::ErrorKind::NotFound,
                                            "no job '" + Id +
                                                "'; parts of a service are " +
                                                Parts.dump()));
                 });
}

void OperatorApi::cancelJob(const Call &Received) {
  // Every partition is asked: the job may have moved from its home.
  struct Gathered {
    std::size_t Missing_ = 0;
    bool Cancelled_ = false;
    CallAnswer Failure_;
  };
  auto Sum = std::make_shared<Gathered>();
  std::vector<std::string> Ids = partsOf(Received.Name_);
  Sum->Missing_ = Ids.size();
  auto Finish = [Sum, Out = Received.Out_, Id = Received.Name_] {
    // A partition that the job has left answers conflict; the one that has it
    // now cancels it.
    if (Sum->Cancelled_)
      sendJson(Out, {200, json{{"job", Id}, {"cancelled", true}}.dump()});
    else if (Sum->Failure_.Status_ != 200)
      sendJson(Out, std::move(Sum->Failure_));
    else
      sendJson(Out, errorCallAnswer(base::ErrorKind::NotFound,
                                    "no job '" + Id + "'"));
  };
  const int NotFound = base::errorInfo(base::ErrorKind::NotFound).HttpStatus_;
  for (const std::string &Id : Ids)
    Calls_.callAll("cancel", Id,
                   [Sum, Finish, NotFound](
                       const std::map<std::string, CallAnswer> &Answers) {
                     for (const auto &[Partition, Answer] : Answers) {
                       if (Answer.Status_ == 200)
                         Sum->Cancelled_ = true;
                       else if (Answer.Status_ != NotFound)
                         Sum->Failure_ = Answer;
                     }
                     if (--Sum->Missing_ == 0)
                       Finish();
                   });
}

} // namespace crocuslead::app

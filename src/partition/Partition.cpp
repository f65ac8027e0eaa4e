#include "partition/Partition.h"

#include "partition/internal/Impl.h"

#include <utility>

namespace crocuslead::partition {

std::string reasonName(schedule::Reason Value);

Partition::Partition(PartitionSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}

Partition::~Partition() = default;

base::Result<void>
Partition::recover(const std::vector<store::KeyValue> &Stored,
                   base::TimePoint Now, base::WallTime Wall) {
  return Impl_->recover(Stored, Now, Wall);
}

void Partition::configure(const config::Configuration &Config,
                          const base::Resources &FleetCapacity,
                          base::TimePoint Now) {
  Impl_->configure(Config, FleetCapacity, Now);
}

void Partition::setWorkers(const std::vector<cluster::InstanceEntry> &Workers,
                           base::TimePoint Now) {
  Impl_->setWorkers(Workers, Now);
}

void Partition::setPeerSummaries(std::vector<PartitionSummary> Summaries) {
  Impl_->setPeerSummaries(std::move(Summaries));
}

void Partition::submit(uint64_t Call, const JobSpec &Job, base::TimePoint Now,
                       base::WallTime Wall) {
  Impl_->submit(Call, Job, Now, Wall);
}

void Partition::cancel(uint64_t Call, const std::string &JobId,
                       base::TimePoint) {
  Impl_->cancel(Call, JobId);
}

void Partition::commitDone(uint64_t Sequence, CommitStatus Status,
                           base::TimePoint Now) {
  Impl_->Journal_.commitDone(Sequence, Status, Now);
}

void Partition::readBackDone(uint64_t Sequence,
                             const std::optional<store::KeyValue> &Found,
                             base::TimePoint Now) {
  Impl_->Journal_.readBackDone(Sequence, Found, Now);
}

void Partition::workerReply(
    uint64_t Token,
    const std::variant<cluster::WorkerReply, base::Error> &Reply,
    base::TimePoint Now) {
  Impl_->workerReply(Token, Reply, Now);
}

void Partition::transferOffered(const std::string &FromPartition,
                                const std::string &Record,
                                uint64_t TransferNumber, base::TimePoint Now) {
  Impl_->transferOffered(FromPartition, Record, TransferNumber, Now);
}

void Partition::transferAccepted(const std::string &JobId,
                                 uint64_t TransferNumber, base::TimePoint) {
  Impl_->transferAccepted(JobId, TransferNumber);
}

void Partition::recordStoreContact(base::TimePoint At) {
  Impl_->recordStoreContact(At);
}

void Partition::tick(base::TimePoint Now, base::WallTime Wall) {
  Impl_->tick(Now, Wall);
}

std::vector<Action> Partition::takeActions() {
  return std::exchange(Impl_->Actions_, {});
}

bool Partition::isQuiescent() const { return Impl_->Journal_.idle(); }

void Partition::beginHandover() { Impl_->HandingOver_ = true; }

store::Put Partition::prepareHandover() { return Impl_->prepareHandover(); }

PartitionSummary Partition::summary() const { return Impl_->summary(); }

std::vector<UsageRow> Partition::usage() const {
  std::vector<UsageRow> Out;
  for (const auto &[Key, Row] : Impl_->State_.Usage_)
    Out.push_back(Row);
  return Out;
}

std::optional<JobView> Partition::job(const std::string &JobId) const {
  const JobRecord *Job = Impl_->State_.find(JobId);
  if (Job == nullptr)
    return std::nullopt;
  return Impl_->jobView(*Job);
}

std::vector<JobView> Partition::jobs() const {
  std::vector<JobView> Out;
  for (const auto &[Id, Job] : Impl_->State_.jobs())
    Out.push_back(Impl_->jobView(Job));
  return Out;
}

std::vector<DecisionRecord>
Partition::explain(const std::string &TaskOrJob) const {
  return Impl_->explain(TaskOrJob);
}

PartitionSummary Partition::Impl::summary() const {
  PartitionSummary Out;
  Out.Id_ = Settings_.Id_;
  // A partition that cannot take jobs over reports no free capacity, so that no
  // transfers are offered to it.
  bool AcceptsTransfers =
      Configured_ && !HandingOver_ &&
      domainState(ownDomain()) == config::DomainState::InService;
  if (AcceptsTransfers)
    Out.Free_ = Planner_.freeCapacity();
  for (const WorkerState &Worker : Workers_)
    if (Worker.Listed_)
      Out.Capacity_ += Worker.Info_.Capacity_;
  for (const auto &[Number, Task] : Tasks_) {
    const JobRecord &Job = jobRecord(Task);
    TaskState State = Job.Tasks_[Task.Index_].State_;
    if (holdsWorker(State))
      Out.HeldByWorkspace_[Job.Spec_.Workspace_] += Job.Spec_.PerTask_;
    else if (State == TaskState::Pending)
      ++(Job.Spec_.Urgent_ ? Out.PendingUrgent_ : Out.Pending_);
  }
  return Out;
}

JobView Partition::Impl::jobView(const JobRecord &Job) const {
  JobView Out;
  Out.Id_ = Job.Spec_.Id_;
  Out.Workspace_ = Job.Spec_.Workspace_;
  Out.TransferredTo_ = Job.TransferTo_;
  Out.RejectReason_ = Job.RejectReason_;
  Out.State_ = Job.FinalState_;
  auto Live = LiveJobs_.find(Job.Spec_.Id_);
  for (std::size_t I = 0; I < Job.Tasks_.size(); ++I) {
    const TaskRecord &Task = Job.Tasks_[I];
    TaskView View;
    View.Task_ = Job.Spec_.Id_ + "/" + std::to_string(I);
    View.State_ = std::string(TaskStateNames.name(Task.State_));
    View.Worker_ = Task.Worker_;
    View.Attempt_ = Task.Attempt_;
    if (holdsWorker(Task.State_))
      Out.State_ = JobState::Running;
    else if (Task.State_ == TaskState::Pending && Live != LiveJobs_.end())
      if (auto PendingReason =
              Planner_.pendingReason(Live->second.FirstTask_ + I))
        View.PendingReason_ = reasonName(*PendingReason);
    Out.Tasks_.push_back(std::move(View));
  }
  return Out;
}

std::vector<DecisionRecord>
Partition::Impl::explain(const std::string &TaskOrJob) const {
  std::vector<DecisionRecord> Out;
  std::string TaskPrefix = TaskOrJob + "/";
  for (const DecisionRecord &Record : DecisionLog_)
    if (Record.Task_ == TaskOrJob ||
        Record.Task_.compare(0, TaskPrefix.size(), TaskPrefix) == 0)
      Out.push_back(Record);
  return Out;
}

} // namespace crocuslead::partition

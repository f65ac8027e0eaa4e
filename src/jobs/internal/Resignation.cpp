#include "jobs/internal/Impl.h"

#include "jobs/internal/Handover.h"

#include <set>

// What a term that resigns leaves behind.

namespace crocuslead::jobs {

std::string Coordinator::Impl::prepareHandover() {
  for (auto &[Id, Worker] : Workers_) {
    if (Worker->Runs_.empty() || !Worker->Clock_ || !isReachable(*Worker) ||
        Worker->GrantsExcluded_ || Worker->HeldBackSequence_ != 0 ||
        leaseTimeLeft().count() <= 0)
      continue;
    PollRequest Request;
    Request.FencingToken_ = Worker->FencingToken_;
    Request.FirstToken_ = firstToken();
    Request.AcknowledgedSequence_ = unsentAcknowledgement(*Worker);
    Request.LeaseUntilMs_ = grantLease(*Worker);
    Port_.poll(addressOf(*Worker), Request, [](const PollReply &) {
      // Only the lease renewal matters; the successor polls by itself.
    });
  }
  Superseded_ = true;
  internal::Handover Out;
  Out.Term_ = Settings_.Term_;
  Out.Starts_ = recordedStarts();
  Out.Clocks_ = clockReadings();
  Out.PredecessorsFenced_ = PredecessorLeases_.fenced();
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Worker->MayHoldLease_ || now() < leaseEnd(*Worker))
      Out.Workers_.push_back(handedOver(*Worker));
  Out.LateStarts_ = lateStarts();
  return internal::encodeHandover(Out);
}

std::vector<internal::HandedOverStart> Coordinator::Impl::lateStarts() const {
  std::vector<internal::HandedOverStart> Out;
  for (const auto &[WorkerId, Entries] : LateStarts_)
    for (const internal::LateStartEntry &Late : Entries)
      Out.push_back({Late.Task_, {WorkerId, Late.Run_, Late.State_}});
  for (const WorkerEntry *Worker : WorkerOrder_)
    for (const RunEntry *Run : Worker->Runs_)
      if (isUnlocated(*Run) && !Run->Step_->Spec_->Speculative_ &&
          lateStartOf(*Run) == nullptr)
        Out.push_back(
            {{Run->Job_->Id_, Run->Position_},
             {Worker->Info_.Id_, Run->Number_, LateStartState::Missing}});
  return Out;
}

internal::HandedOverWorker
Coordinator::Impl::handedOver(const WorkerEntry &Worker) const {
  internal::HandedOverWorker Out;
  Out.Id_ = Worker.Info_.Id_;
  Out.StartTimeMs_ = latestStartTimeMs(Worker);
  Out.LeaseLeft_ = leaseEnd(Worker) - now();
  Out.Jobs_ = possibleJobs(Worker);
  auto Unseen = UnlocatedRuns_.find(Worker.Info_.Id_);
  if (!Worker.Polled_ && Unseen != UnlocatedRuns_.end()) {
    Out.UnlocatedLeft_ = Unseen->second.End_ - now();
    Out.UnlocatedJobs_ = Unseen->second.Jobs_;
    return Out;
  }
  Out.UnlocatedLeft_ = unlocatedRunEnd(Worker) - now();
  Out.UnlocatedJobs_ = unlocatedJobs(Worker);
  return Out;
}

// A result that is not durable counts like a run: the next term does not know
// of it before the worker lists it again. Results that are held back or not
// listed, those of tasks that were given up, and runs of unknown tasks may be
// those of any job.
std::optional<std::vector<std::string>>
Coordinator::Impl::possibleJobs(const WorkerEntry &Worker) const {
  if (!Worker.Polled_)
    return Worker.PossibleJobs_;
  if (Worker.HeldBackSequence_ != 0 || Worker.RunsAbandoned_ ||
      Worker.ReportTruncated_ || Worker.RanUnknownTask_)
    return std::nullopt;
  std::set<std::string> Out;
  for (const RunEntry *Run : Worker.Runs_)
    if (Run->Phase_ != RunPhase::Announced)
      Out.insert(Run->Job_->Id_);
  for (const internal::PendingAcknowledgement &Each :
       Worker.PendingAcknowledgements_)
    if (!Each.Job_.empty())
      Out.insert(Each.Job_);
  return std::vector<std::string>(Out.begin(), Out.end());
}

} // namespace crocuslead::jobs

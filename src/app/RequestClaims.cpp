#include "app/RequestPath.h"

#include "app/internal/ActiveRequest.h"
#include "base/Hash.h"

#include <algorithm>

// Keyed requests: the claim before the request is routed, and repeated keys.
namespace crocuslead::app {

namespace {

struct ClaimRefusal {
  route::ClaimVerdict Verdict_;
  base::ErrorKind Kind_;
  base::Outcome Outcome_;
  const char *Message_;
};

constexpr ClaimRefusal ClaimRefusals[] = {
    {route::ClaimVerdict::InProgress, base::ErrorKind::KeyInProgress,
     base::Outcome::Unknown, "a request with this key is in progress"},
    {route::ClaimVerdict::Spent, base::ErrorKind::KeySpent,
     base::Outcome::NotRun,
     "a request with this key was refused; use a new key"},
    {route::ClaimVerdict::FingerprintMismatch, base::ErrorKind::Conflict,
     base::Outcome::NotRun, "this key came with another request"},
    {route::ClaimVerdict::Unknown, base::ErrorKind::OutcomeUnknown,
     base::Outcome::Unknown,
     "it is not known whether a request with this key ran"},
    // The key may have run more than a day ago, or may be granted to a
    // duplicate when its issue time has come.
    {route::ClaimVerdict::BadIssueTime, base::ErrorKind::InvalidRequest,
     base::Outcome::Unknown,
     "the key's time lies more than 5 s in the future or 24 h in the past"},
};

} // namespace

void RequestPath::claimThenRoute(Active &Target) {
  uint64_t Fingerprint =
      base::stableHash(Target.Request_.Method_ + " " + Target.Request_.Target_ +
                       "\n" + Target.Request_.Body_);
  Claims_.claim(Target.Key_, Fingerprint,
                [this, Id = Target.Id_](const route::ClaimReply &Reply) {
                  claimAnswered(Id, Reply);
                });
}

void RequestPath::claimAnswered(uint64_t Id, const route::ClaimReply &Reply) {
  Active *Target = find(Id);
  if (Target == nullptr)
    return;
  if (Reply.Verdict_ == route::ClaimVerdict::Granted) {
    bool Running =
        std::any_of(Active_.begin(), Active_.end(), [Target](const auto &Each) {
          return Each.second->ClaimHeld_ && Each.second->Key_ == Target->Key_;
        });
    if (Running) {
      refuse(*Target, base::ErrorKind::KeyInProgress, base::Outcome::Unknown,
             "a request with this key is in progress");
      return;
    }
    Target->ClaimHeld_ = true;
    Target->ClaimText_ = "granted";
    // The router does not know the request yet, so it missed the closing.
    if (Target->CallerGone_)
      refuse(*Target, base::ErrorKind::DeadlineBeforeSend,
             base::Outcome::NotRun, "the caller closed its connection");
    else
      route(*Target);
    return;
  }
  // The report of the end may be behind the caller's repetition: the executor
  // knows.
  bool Elsewhere = Reply.Verdict_ == route::ClaimVerdict::InProgress &&
                   !Reply.Executor_.empty() &&
                   Reply.Executor_ != Shared_.Settings_.InstanceId_;
  if (Elsewhere)
    Target->Replay_ = route::ClaimVerdict::InProgress;
  if (Elsewhere || Reply.Verdict_ == route::ClaimVerdict::AlreadyRan) {
    replay(*Target, Reply.Executor_);
    return;
  }
  for (const ClaimRefusal &Row : ClaimRefusals)
    if (Row.Verdict_ == Reply.Verdict_) {
      refuse(*Target, Row.Kind_, Row.Outcome_, Row.Message_);
      return;
    }
}

void RequestPath::replay(Active &Target, const std::string &Executor) {
  Target.ClaimText_ = "ran on " + Executor;
  auto Finish = [this, Id = Target.Id_](const http::Response *Kept) {
    Active *Waiting = find(Id);
    if (Waiting == nullptr)
      return;
    if (Kept == nullptr &&
        Waiting->Replay_ == route::ClaimVerdict::InProgress) {
      refuse(*Waiting, base::ErrorKind::KeyInProgress, base::Outcome::Unknown,
             "a request with this key is in progress");
      return;
    }
    if (Kept == nullptr) {
      refuse(*Waiting, base::ErrorKind::AlreadyRan, base::Outcome::Ran,
             "the request with this key ran; its answer is no longer kept");
      return;
    }
    http::Response Answer = *Kept;
    Answer.Headers_ = answerHeaders(*Waiting, Kept->Headers_);
    Answer.Headers_.emplace_back("Crocuslead-Replayed", "true");
    int Status = Answer.Status_;
    Waiting->Out_->send(std::move(Answer));
    end(*Waiting, "replayed", Status);
  };
  if (Executor == Shared_.Settings_.InstanceId_)
    Finish(keptAnswer(Target.Key_));
  else
    Hooks_.FetchAnswer_(Executor, Target.Key_, Finish);
}

const http::Response *RequestPath::keptAnswer(const std::string &Key) {
  return Answers_.find(Key, Shared_.Clock_.now());
}

} // namespace crocuslead::app

#include "app/RequestPath.h"

#include "app/internal/ActiveRequest.h"
#include "app/internal/RequestParse.h"
#include "base/Log.h"

namespace crocuslead::app {

namespace {

// Larger answers are passed on while they arrive; smaller ones wait until they
// are whole, so that a failed attempt can be repeated unseen.
constexpr std::size_t StreamAboveBytes = 256U << 10U;

route::RouterSettings routerSettings(const Context &Shared) {
  route::RouterSettings Out;
  Out.Self_ = Shared.Settings_.InstanceId_;
  Out.Domain_ = Shared.Settings_.Domain_;
  Out.Region_ = Shared.Settings_.Region_;
  for (const config::PeerSettings &Each : Shared.Settings_.Instances_)
    Out.Instances_.push_back(Each.Id_);
  for (const config::PeerSettings &Each : Shared.Settings_.Instances_)
    Out.InstanceRegions_[Each.Id_] = Each.Region_;
  Out.QueueLimit_ = std::chrono::milliseconds(Shared.Settings_.QueueLimitMs_);
  Out.RetryShare_ = Shared.Settings_.RetryShare_;
  Out.CrossRegionBytesPerSecond_ = Shared.Settings_.CrossRegionBytesPerSecond_;
  Out.Seed_ = Shared.Random_.next();
  return Out;
}

} // namespace

RequestPath::RequestPath(const Context &Shared, http::Client &Client,
                         ClaimService &Claims, RequestPathHooks Hooks)
    : Shared_(Shared), Client_(Client), Claims_(Claims),
      Hooks_(std::move(Hooks)), Router_(routerSettings(Shared)) {}

RequestPath::~RequestPath() = default;

RequestPath::Active *RequestPath::find(uint64_t Id) {
  auto Found = Active_.find(Id);
  return Found == Active_.end() ? nullptr : Found->second.get();
}

void RequestPath::handle(http::Request Request,
                         std::shared_ptr<http::Responder> Out) {
  uint64_t Id = NextId_++;
  auto Added = std::make_unique<Active>();
  Added->Id_ = Id;
  Added->PublicId_ = Shared_.Settings_.InstanceId_ + "." +
                     Shared_.Incarnation_.substr(0, 8) + "." +
                     std::to_string(Id);
  Added->Request_ = std::move(Request);
  Added->Out_ = std::move(Out);
  Added->Started_ = Shared_.Clock_.now();
  Active &Target = *(Active_[Id] = std::move(Added));
  Target.Out_->onClosed([this, Id] {
    Active *Left = find(Id);
    if (Left == nullptr)
      return;
    Left->CallerGone_ = true;
    Router_.callerGone(Id, Shared_.Clock_.now());
    pump();
  });
  admit(Target);
}

void RequestPath::admit(Active &Target) {
  ParsedRequest Parsed = parseRequest(Target.Request_);
  if (Parsed.Error_) {
    // A request with a valid key may have run before, with other headers.
    refuse(Target, Parsed.Error_->Kind_,
           Parsed.Key_.empty() ? base::Outcome::NotRun : base::Outcome::Unknown,
           Parsed.Error_->Message_);
    return;
  }
  const auto &Workspaces = Hooks_.Configuration_().Workspaces_;
  auto Found = Workspaces.find(Parsed.Workspace_);
  if (Found == Workspaces.end() || Found->second.Service_.empty()) {
    // Another instance may know the workspace and have run the key.
    refuse(Target, base::ErrorKind::NotFound,
           Parsed.Key_.empty() ? base::Outcome::NotRun : base::Outcome::Unknown,
           "no workspace '" + Parsed.Workspace_ + "' with a service");
    return;
  }
  const config::Workspace &Workspace = Found->second;
  int64_t DeadlineMs =
      Parsed.DeadlineMs_.value_or(Workspace.DefaultDeadlineMs_);
  Target.UpstreamTarget_ = Parsed.UpstreamTarget_;
  Target.Key_ = Parsed.Key_;
  route::RequestInfo &Info = Target.Info_;
  Info.Id_ = Target.Id_;
  Info.Workspace_ = Workspace.Name_;
  Info.Service_ = Workspace.Service_;
  Info.Priority_ = Workspace.Priority_;
  Info.Deferrable_ = Parsed.Deferrable_ || Workspace.Deferrable_;
  Info.Idempotent_ = Parsed.Idempotent_;
  Info.MaxConcurrent_ = Workspace.MaxConcurrentRequests_;
  Info.Deadline_ = Target.Started_ + std::chrono::milliseconds(DeadlineMs);
  Info.BodyBytes_ = Target.Request_.Body_.size();
  if (!Info.Idempotent_ && !Target.Key_.empty())
    claimThenRoute(Target);
  else
    route(Target);
}

void RequestPath::route(Active &Target) {
  Router_.begin(Target.Info_, Shared_.Clock_.now());
  pump();
}

struct RequestPath::ActionPerformer {
  RequestPath &Path_;

  void operator()(const route::SendAction &Action) const { Path_.send(Action); }

  void operator()(const route::CancelAction &Action) const {
    Active *Target = Path_.find(Action.Request_);
    if (Target == nullptr)
      return;
    auto Found = Target->Attempts_.find(Action.Attempt_);
    if (Found == Target->Attempts_.end())
      return;
    Found->second.Exchange_.reset();
    Found->second.End_ = attemptEndName(route::AttemptEnd::Cancelled);
  }

  void operator()(const route::DeliverAction &Action) const {
    Active *Target = Path_.find(Action.Request_);
    if (Target == nullptr)
      return;
    auto Found = Target->Attempts_.find(Action.Attempt_);
    if (Found != Target->Attempts_.end())
      Path_.deliver(*Target, Found->second);
  }

  void operator()(const route::RefuseAction &Action) const {
    if (Active *Target = Path_.find(Action.Request_))
      Path_.refuse(*Target, Action.Kind_, Action.Outcome_, Action.Message_);
  }
};

void RequestPath::pump() {
  if (Pumping_)
    return;
  Pumping_ = true;
  for (;;) {
    std::vector<route::RouteAction> Actions = Router_.takeActions();
    if (Actions.empty())
      break;
    for (const route::RouteAction &Action : Actions)
      std::visit(ActionPerformer{*this}, Action);
  }
  Pumping_ = false;
}

void RequestPath::tick() {
  Router_.tick(Shared_.Clock_.now());
  pump();
}

void RequestPath::send(const route::SendAction &Action) {
  Active *Target = find(Action.Request_);
  if (Target == nullptr)
    return;
  Attempt &Added = Target->Attempts_[Action.Attempt_];
  Added.Number_ = Action.Attempt_;
  Added.Upstream_ = Action.Upstream_;
  Added.SentAt_ = Shared_.Clock_.now();
  http::ClientRequest Outgoing;
  Outgoing.Method_ = Target->Request_.Method_;
  Outgoing.Url_ = "http://" + Action.Address_ + Target->UpstreamTarget_;
  Outgoing.Headers_ = upstreamHeaders(Target->Request_.Headers_);
  Outgoing.Headers_.emplace_back("Crocuslead-Request-Id", Target->PublicId_);
  Outgoing.Headers_.emplace_back(
      "Crocuslead-Deadline-Ms",
      std::to_string(base::toMillis(Action.Timeout_)));
  Outgoing.Body_ = Target->Request_.Body_;
  Outgoing.Timeout_ = Action.Timeout_;
  uint64_t Id = Action.Request_;
  uint32_t Number = Action.Attempt_;
  http::StreamSink Sink{
      [this, Id, Number](int Status, const http::Headers &All) {
        headerArrived(Id, Number, Status, All);
      },
      [this, Id, Number](std::string_view Piece) {
        dataArrived(Id, Number, Piece);
      }};
  auto Exchange =
      Client_.stream(std::move(Outgoing), std::move(Sink),
                     [this, Id, Number](const http::ExchangeResult &Result) {
                       attemptDone(Id, Number, Result);
                     });
  // The request may have ended already if the exchange failed at once.
  Target = find(Id);
  if (Target != nullptr && Target->Attempts_[Number].End_.empty())
    Target->Attempts_[Number].Exchange_ = std::move(Exchange);
}

void RequestPath::headerArrived(uint64_t Id, uint32_t Number, int Status,
                                const http::Headers &All) {
  Active *Target = find(Id);
  if (Target == nullptr || Target->Attempts_.count(Number) == 0)
    return;
  http::Response &Answer = Target->Attempts_[Number].Answer_;
  Answer.Status_ = Status;
  Answer.Headers_ = All;
}

void RequestPath::dataArrived(uint64_t Id, uint32_t Number,
                              std::string_view Piece) {
  Active *Target = find(Id);
  if (Target == nullptr || Target->Attempts_.count(Number) == 0)
    return;
  Attempt &From = Target->Attempts_[Number];
  From.AnswerBytes_ += Piece.size();
  if (Target->Streaming_ == Number) {
    Target->Out_->write(std::string(Piece));
    return;
  }
  From.Answer_.Body_ += Piece;
  if (From.Answer_.Body_.size() > StreamAboveBytes && Target->Streaming_ == 0)
    commitTo(*Target, From);
}

void RequestPath::commitTo(Active &Target, Attempt &Chosen) {
  Target.Streaming_ = Chosen.Number_;
  Target.Out_->begin(Chosen.Answer_.Status_,
                     answerHeaders(Target, Chosen.Answer_.Headers_));
  Target.Out_->write(std::move(Chosen.Answer_.Body_));
  Chosen.Answer_.Body_.clear();
}

void RequestPath::attemptDone(uint64_t Id, uint32_t Number,
                              const http::ExchangeResult &Result) {
  Active *Target = find(Id);
  if (Target == nullptr || Target->Attempts_.count(Number) == 0)
    return;
  Attempt &Ended = Target->Attempts_[Number];
  base::TimePoint Now = Shared_.Clock_.now();
  Ended.TookMs_ = base::toMillis(Now - Ended.SentAt_);
  route::AttemptResult Report;
  Report.Request_ = Id;
  Report.Attempt_ = Number;
  Report.End_ = attemptEnd(Result, Ended.Answer_);
  Report.HttpStatus_ = Ended.Answer_.Status_;
  Report.AnswerBytes_ = Ended.AnswerBytes_;
  Ended.End_ = attemptEndName(Report.End_);
  // The caller has part of another attempt's answer: this one came second, and
  // delivering it would cut the first.
  if (Target->Streaming_ != 0 && Target->Streaming_ != Number &&
      Report.End_ == route::AttemptEnd::Answered)
    Report.End_ = route::AttemptEnd::Cancelled;
  if (Target->Streaming_ == Number &&
      Report.End_ != route::AttemptEnd::Answered) {
    // The caller has part of the answer already: it sees the connection cut,
    // never a short success, and no other attempt can take over.
    Target->Out_->abort();
    Report.End_ = route::AttemptEnd::Answered;
  }
  Router_.attemptEnded(Report, Now);
  pump();
}

void RequestPath::deliver(Active &Target, Attempt &Chosen) {
  int Status = Chosen.Answer_.Status_;
  if (Target.Streaming_ == Chosen.Number_) {
    Target.Out_->finish();
    end(Target, "answered", Status);
    return;
  }
  if (Target.Streaming_ != 0) {
    Target.Out_->abort();
    end(Target, "aborted", Status);
    return;
  }
  http::Response Answer;
  Answer.Status_ = Status;
  Answer.Headers_ = answerHeaders(Target, Chosen.Answer_.Headers_);
  if (Target.ClaimHeld_)
    Answers_.keep(Target.Key_, Chosen.Answer_, Shared_.Clock_.now());
  Answer.Body_ = std::move(Chosen.Answer_.Body_);
  Target.Out_->send(std::move(Answer));
  end(Target, "answered", Status);
}

void RequestPath::refuse(Active &Target, base::ErrorKind Kind,
                         base::Outcome Outcome, const std::string &Message) {
  const base::ErrorInfo &Info = base::errorInfo(Kind);
  if (Target.Streaming_ != 0)
    Target.Out_->abort();
  else
    Target.Out_->send(
        errorAnswer(Info, Outcome, Message, Target.PublicId_, Draining_));
  if (Target.ClaimHeld_ && Outcome != base::Outcome::Ran) {
    Claims_.finish(Target.Key_, Outcome == base::Outcome::NotRun
                                    ? route::ClaimEnd::NotRun
                                    : route::ClaimEnd::Unknown);
    Target.ClaimHeld_ = false;
  }
  end(Target, std::string(Info.Name_), Info.HttpStatus_);
}

void RequestPath::end(Active &Target, const std::string &Result, int Status) {
  if (Target.ClaimHeld_)
    Claims_.finish(Target.Key_, route::ClaimEnd::Ran);
  base::Duration Took = Shared_.Clock_.now() - Target.Started_;
  RequestRecord Record{Target.PublicId_,        Target.Info_.Workspace_,
                       Target.Request_.Target_, Target.Key_,
                       Target.ClaimText_,       Result,
                       base::toMillis(Took),    {}};
  for (const auto &[Number, Each] : Target.Attempts_)
    Record.Attempts_.push_back({Each.Upstream_, Each.End_, Each.TookMs_});
  Log_.add(std::move(Record));
  if (Hooks_.Observe_)
    Hooks_.Observe_(Target.Info_.Workspace_, Took, Status);
  Active_.erase(Target.Id_);
}

http::Headers RequestPath::answerHeaders(const Active &Target,
                                         const http::Headers &Upstream) const {
  http::Headers Out = callerHeaders(Upstream);
  // The answer to HEAD names the length of a body that it does not have.
  const std::string *Length = http::findHeader(Upstream, "Content-Length");
  if (Target.Request_.Method_ == "HEAD" && Length != nullptr)
    Out.emplace_back("Content-Length", *Length);
  Out.emplace_back("Crocuslead-Outcome", "ran");
  Out.emplace_back("Crocuslead-Request-Id", Target.PublicId_);
  if (Draining_)
    Out.emplace_back("Connection", "close");
  return Out;
}

void RequestPath::setInstances(const cluster::InstanceSnapshot &Snapshot) {
  std::vector<route::UpstreamInfo> Upstreams;
  for (const cluster::InstanceEntry &Entry : Snapshot.Entries_)
    if (!Entry.UpstreamAddress_.empty())
      Upstreams.push_back({Entry.Id_, Entry.UpstreamAddress_, Entry.Domain_,
                           Entry.Region_, Entry.Services_, Entry.Slots_,
                           Entry.Connections_,
                           Entry.State_ == cluster::InstanceState::Leaving});
  Router_.setUpstreams(std::move(Upstreams), Shared_.Clock_.now());
  pump();
}

void RequestPath::configChanged() {
  for (const auto &[Name, Domain] : Hooks_.Configuration_().Domains_)
    Router_.setDomainAvailable(Name,
                               Domain.State_ == config::DomainState::InService,
                               Shared_.Clock_.now());
  pump();
}

void RequestPath::setLive(std::vector<std::string> Live) {
  Router_.setLiveInstances(std::move(Live), Shared_.Clock_.now());
}

} // namespace crocuslead::app

#include "route/Router.h"

#include "base/Hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace crocuslead::route {

namespace {

struct Place {
  UpstreamInfo Info_;
  int Slots_ = 0;
  int InFlight_ = 0;
};

struct Pending {
  RequestInfo Info_;
  std::string Upstream_;
  uint32_t Attempt_ = 0;
  bool Queued_ = true;
  base::TimePoint QueueEnd_;
};

} // namespace

class Router::Impl {
public:
  explicit Impl(RouterSettings Settings) : Settings_(std::move(Settings)) {
    if (Settings_.Instances_.empty())
      Settings_.Instances_.push_back(Settings_.Self_);
    Live_.insert(Settings_.Instances_.begin(), Settings_.Instances_.end());
  }

  void setUpstreams(std::vector<UpstreamInfo> Upstreams) {
    std::map<std::string, Place> Next;
    for (UpstreamInfo &Info : Upstreams) {
      Place &P = Next[Info.Id_];
      auto Old = Places_.find(Info.Id_);
      P.InFlight_ = Old == Places_.end() ? 0 : Old->second.InFlight_;
      P.Info_ = std::move(Info);
    }
    Places_ = std::move(Next);
    divideSlots();
  }

  void divideSlots() {
    for (auto &[Id, P] : Places_) {
      P.Slots_ = 0;
      for (int I = 0; I < P.Info_.Slots_; ++I)
        P.Slots_ += ownerOf(Id + "/" + std::to_string(I)) == Settings_.Self_;
    }
  }

  std::string ownerOf(const std::string &Slot) const {
    std::vector<std::string> Candidates(Live_.begin(), Live_.end());
    auto Best = base::rendezvousPick(Slot, Candidates);
    return Best ? Candidates[*Best] : std::string();
  }

  void begin(const RequestInfo &Request, base::TimePoint Now) {
    ++Counters_.Requests_;
    if (Requests_.size() >= Settings_.MaxQueued_) {
      refuse(Request.Id_, base::ErrorKind::Overloaded);
      return;
    }
    Requests_[Request.Id_] = {
        Request, {}, 0, true, Now + Settings_.QueueLimit_};
    dispatch(Now);
  }

  void dispatch(base::TimePoint Now) {
    for (auto &[Id, P] : Requests_)
      if (P.Queued_)
        trySend(P, Now);
  }

  void trySend(Pending &P, base::TimePoint Now) {
    Place *Best = nullptr;
    for (auto &[Id, Candidate] : Places_)
      if (usable(Candidate, P.Info_) &&
          (!Best || Candidate.InFlight_ < Best->InFlight_))
        Best = &Candidate;
    if (!Best || P.Info_.Deadline_ <= Now)
      return;
    ++Best->InFlight_;
    P.Queued_ = false;
    P.Upstream_ = Best->Info_.Id_;
    Actions_.emplace_back(SendAction{
        P.Info_.Id_, ++P.Attempt_, P.Upstream_, Best->Info_.Address_,
        P.Info_.Deadline_ - Now, Best->Info_.Region_ != Settings_.Region_});
  }

  bool usable(const Place &P, const RequestInfo &Request) const {
    const auto &Services = P.Info_.Services_;
    return !P.Info_.Leaving_ && DomainsOut_.count(P.Info_.Domain_) == 0 &&
           P.InFlight_ < P.Slots_ &&
           std::find(Services.begin(), Services.end(), Request.Service_) !=
               Services.end();
  }

  void attemptEnded(const AttemptResult &Result, base::TimePoint Now) {
    auto Found = Requests_.find(Result.Request_);
    if (Found == Requests_.end() || Found->second.Queued_ ||
        Found->second.Attempt_ != Result.Attempt_)
      return;
    auto P = Places_.find(Found->second.Upstream_);
    if (P != Places_.end())
      --P->second.InFlight_;
    if (Result.End_ == AttemptEnd::Answered) {
      ++Counters_.Delivered_;
      Actions_.emplace_back(DeliverAction{Result.Request_, Result.Attempt_});
    } else {
      refuse(Result.Request_, kindOf(Result.End_));
    }
    Requests_.erase(Result.Request_);
    dispatch(Now);
  }

  static base::ErrorKind kindOf(AttemptEnd End) {
    switch (End) {
    case AttemptEnd::ConnectFailed:
      return base::ErrorKind::UpstreamUnreachable;
    case AttemptEnd::Busy:
      return base::ErrorKind::UpstreamBusy;
    case AttemptEnd::Truncated:
      return base::ErrorKind::AnswerTruncated;
    case AttemptEnd::TimedOut:
      return base::ErrorKind::DeadlineAfterSend;
    default:
      return base::ErrorKind::UpstreamReset;
    }
  }

  void refuse(uint64_t Request, base::ErrorKind Kind) {
    ++Counters_.Refused_;
    const base::ErrorInfo &Info = base::errorInfo(Kind);
    Actions_.emplace_back(
        RefuseAction{Request, Kind, Info.Outcome_, std::string(Info.Name_)});
  }

  void tick(base::TimePoint Now) {
    for (auto At = Requests_.begin(); At != Requests_.end();) {
      const Pending &P = At->second;
      bool Late = P.Info_.Deadline_ <= Now;
      if (!Late && !(P.Queued_ && P.QueueEnd_ <= Now)) {
        ++At;
        continue;
      }
      auto Kind = Late ? base::ErrorKind::DeadlineBeforeSend
                       : base::ErrorKind::QueueTimeout;
      if (!P.Queued_) {
        Kind = base::ErrorKind::DeadlineAfterSend;
        auto Used = Places_.find(P.Upstream_);
        if (Used != Places_.end())
          --Used->second.InFlight_;
      }
      refuse(At->first, Kind);
      At = Requests_.erase(At);
    }
    dispatch(Now);
  }

  RouterSettings Settings_;
  std::map<std::string, Place> Places_;
  std::set<std::string> DomainsOut_;
  std::set<std::string> Live_;
  std::map<uint64_t, Pending> Requests_;
  std::vector<RouteAction> Actions_;
  RouterCounters Counters_;
};

Router::Router(RouterSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}
Router::~Router() = default;

void Router::setUpstreams(std::vector<UpstreamInfo> Upstreams,
                          base::TimePoint Now) {
  Impl_->setUpstreams(std::move(Upstreams));
  Impl_->dispatch(Now);
}

void Router::setDomainAvailable(const std::string &Domain, bool Available,
                                base::TimePoint Now) {
  if (Available)
    Impl_->DomainsOut_.erase(Domain);
  else
    Impl_->DomainsOut_.insert(Domain);
  Impl_->dispatch(Now);
}

void Router::setLiveInstances(std::vector<std::string> Live,
                              base::TimePoint Now) {
  Impl_->Live_ = {Live.begin(), Live.end()};
  Impl_->Live_.insert(Impl_->Settings_.Self_);
  Impl_->divideSlots();
  Impl_->dispatch(Now);
}

// The first version lends nothing and uses no borrowed slots.
void Router::lendSlots(const std::string &, int, base::TimePoint) {}
void Router::borrowSlots(const std::string &, int, base::TimePoint) {}
std::vector<std::pair<std::string, int>>
Router::idleSlots(base::TimePoint) const {
  return {};
}

uint64_t Router::queued() const {
  return static_cast<uint64_t>(
      std::count_if(Impl_->Requests_.begin(), Impl_->Requests_.end(),
                    [](const auto &Row) { return Row.second.Queued_; }));
}

void Router::begin(const RequestInfo &Request, base::TimePoint Now) {
  Impl_->begin(Request, Now);
}

void Router::attemptEnded(const AttemptResult &Result, base::TimePoint Now) {
  Impl_->attemptEnded(Result, Now);
}

void Router::callerGone(uint64_t Request, base::TimePoint) {
  auto Found = Impl_->Requests_.find(Request);
  if (Found == Impl_->Requests_.end() || !Found->second.Queued_)
    return;
  Impl_->refuse(Request, base::ErrorKind::DeadlineBeforeSend);
  Impl_->Requests_.erase(Found);
}

void Router::tick(base::TimePoint Now) { Impl_->tick(Now); }

std::vector<RouteAction> Router::takeActions() {
  return std::exchange(Impl_->Actions_, {});
}

RouterCounters Router::counters() const { return Impl_->Counters_; }

std::vector<UpstreamView> Router::upstreams() const {
  std::vector<UpstreamView> Views;
  for (const auto &[Id, P] : Impl_->Places_)
    Views.push_back({Id, P.Info_.Leaving_ ? "leaving" : "serving", P.Slots_,
                     P.InFlight_, 0, 1});
  return Views;
}

uint64_t Router::inProgress() const { return Impl_->Requests_.size(); }

} // namespace crocuslead::route

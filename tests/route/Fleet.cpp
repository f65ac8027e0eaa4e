#include "Fleet.h"

#include <algorithm>

namespace fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr std::size_t RouterCount = 3;
const char *const Domains[] = {"ibadan", "abeokuta", "makurdi"};
const char *const Regions[] = {"south-west", "south-west", "middle-belt"};
} // namespace

Fleet::Fleet(uint64_t Seed, Broken Rule) : Rule_(Rule), Seed_(Seed) {
  for (int I = 0; I < 9; ++I) {
    route::UpstreamInfo U;
    U.Id_ = "u" + std::to_string(I);
    U.Domain_ = Domains[I % 3];
    U.Region_ = Regions[I % 3];
    U.Services_ = {I % 4 == 0 ? "ledger" : "visit-desk"};
    U.Slots_ = 4;
    U.Connections_ = 16;
    Upstreams_.push_back(U);
  }
  SendsOf_.resize(RouterCount);
  BegunOf_.resize(RouterCount);
  for (std::size_t I = 0; I < RouterCount; ++I)
    Routers_.push_back(makeRouter(I));
  publish();
}

std::unique_ptr<route::Router> Fleet::makeRouter(std::size_t I) const {
  route::RouterSettings S;
  S.Self_ = "i" + std::to_string(I);
  S.Domain_ = Domains[I];
  S.Region_ = Regions[I];
  S.Instances_ = {"i0", "i1", "i2"};
  if (Rule_ == Broken::Greedy)
    S.Instances_ = {S.Self_};
  constexpr route::PickPolicy Policies[] = {
      route::PickPolicy::Scored, route::PickPolicy::RoundRobin,
      route::PickPolicy::LeastOutstanding, route::PickPolicy::TwoChoices};
  S.Pick_ = Policies[Seed_ % 4];
  S.RetryShare_ = 0.2;
  S.MaxQueued_ = 8;
  if (Seed_ % 3 != 0)
    for (std::size_t Each = 0; Each < RouterCount; ++Each)
      S.InstanceRegions_["i" + std::to_string(Each)] = Regions[Each];
  S.Seed_ = Seed_ + I;
  return std::make_unique<route::Router>(S);
}

void Fleet::check(bool Holds, const std::string &Rule) {
  if (!Holds)
    Violations_.insert(Rule);
}

std::vector<std::string> Fleet::live() const {
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < RouterCount; ++I)
    if (Routers_[I])
      Names.push_back("i" + std::to_string(I));
  return Names;
}

void Fleet::publish() {
  for (auto &R : Routers_)
    if (R) {
      R->setUpstreams(listed(), Now_);
      R->setLiveInstances(live(), Now_);
    }
  drain();
}

std::vector<route::UpstreamInfo> Fleet::listed() const {
  std::vector<route::UpstreamInfo> Listed;
  for (const auto &U : Upstreams_)
    if (Delisted_.count(U.Id_) == 0)
      Listed.push_back(U);
  if (Rule_ == Broken::IgnoreLeaving)
    for (auto &U : Listed)
      U.Leaving_ = false;
  return Listed;
}

void Fleet::apply(const Step &S) {
  switch (S.Kind_ % 17) {
  case 0:
  case 1:
  case 2:
  case 3:
  case 4:
    return begin(S.Arg_);
  case 5:
  case 6:
  case 7:
  case 8:
    return endSome(S.Arg_);
  case 9:
  case 10:
    return advance(milliseconds(1 + S.Arg_ % 60));
  case 11:
    return advance(milliseconds(S.Arg_ % 20 == 0 ? 31000 : S.Arg_ % 3000));
  case 12:
    return leave(S.Arg_);
  case 13:
    return S.Arg_ % 2 == 0 ? changeListing(S.Arg_ / 2)
                           : changeDomain(S.Arg_ / 2);
  case 14:
    return lend(S.Arg_);
  case 15:
    return calm(S.Arg_);
  default:
    if (S.Arg_ % 4 == 0)
      killOrReturn(S.Arg_ / 4);
  }
}

void Fleet::begin(uint32_t Arg) {
  std::size_t I = Arg % RouterCount;
  if (!Routers_[I])
    return;
  base::Random Details(Arg);
  route::RequestInfo Info;
  Info.Id_ = ++NextId_;
  Info.Workspace_ = Details.below(2) == 0 ? "guild" : "bureau";
  Info.Service_ = Details.below(4) == 0 ? "ledger" : "visit-desk";
  Info.Priority_ = static_cast<int>(Details.below(3));
  Info.Deferrable_ = Details.below(4) == 0;
  Info.Idempotent_ = Details.below(2) == 0;
  Info.MaxConcurrent_ = Details.below(3) == 0 ? 6 : 0;
  Info.Deadline_ = Now_ + milliseconds(20 + Details.below(4000));
  Info.BodyBytes_ = Details.below(2000);
  Requests_[Info.Id_] = {Info, I, 0, false, false, false, false, {}};
  ++BegunOf_[I];
  Routers_[I]->begin(Info, Now_);
  drain();
}

// Answers a run of requests quickly, so that the routers learn latencies and
// fill their budgets; without it no request would be hedged.
void Fleet::calm(uint32_t Arg) {
  base::Random Details(Arg);
  for (int I = 0; I < 40; ++I) {
    begin(static_cast<uint32_t>(Details.next()));
    advance(milliseconds(1 + Details.below(4)));
    for (int Each = 0; Each < 2 && !Running_.empty(); ++Each)
      endAttempt(Details.below(Running_.size()), AttemptEnd::Answered, 200,
                 true);
  }
}

// Moves in small steps, as the shell's timer does, and ends each attempt at its
// timeout at the latest.
void Fleet::advance(base::Duration Length) {
  base::TimePoint Target = Now_ + Length;
  while (Now_ < Target) {
    Now_ = std::min(Target, Now_ + milliseconds(20));
    for (std::size_t I = Running_.size(); I-- > 0;)
      if (I < Running_.size() && Running_[I].EndsBy_ <= Now_)
        endAttempt(I, AttemptEnd::TimedOut, 0, Running_[I].Send_.Request_ % 2);
    for (auto &R : Routers_)
      if (R)
        R->tick(Now_);
    drain();
  }
}

void Fleet::endSome(uint32_t Arg) {
  if (Running_.empty())
    return;
  base::Random Fate(Arg);
  std::size_t Index = Fate.below(Running_.size());
  switch (Fate.below(12)) {
  case 0:
    return endAttempt(Index, AttemptEnd::ConnectFailed, 0, false);
  case 1:
    return endAttempt(Index, AttemptEnd::Busy, 503, false);
  case 2:
    return endAttempt(Index, AttemptEnd::Reset, 0, Fate.below(2) == 0);
  case 3:
    return endAttempt(Index, AttemptEnd::Truncated, 200, true);
  case 4:
    return endAttempt(Index, AttemptEnd::TimedOut, 0, Fate.below(2) == 0);
  case 5:
    return endAttempt(Index, AttemptEnd::Answered, 503, Fate.below(2) == 0);
  case 6:
    return endAttempt(Index, AttemptEnd::Cancelled, 0, Fate.below(2) == 0);
  default:
    return endAttempt(Index, AttemptEnd::Answered, 200, true);
  }
}

void Fleet::endAttempt(std::size_t Index, AttemptEnd End, int Status,
                       bool Ran) {
  Attempt A = Running_[Index];
  Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(Index));
  Known &K = Requests_.at(A.Send_.Request_);
  K.Runs_ += Ran ? 1 : 0;
  K.MayRun_ = K.MayRun_ ||
              (End != AttemptEnd::ConnectFailed && End != AttemptEnd::Busy);
  check(K.Info_.Idempotent_ || K.Runs_ <= 1, "non-idempotent ran twice");
  check(!K.ToldNotRun_ || K.Runs_ == 0, "ran after a refusal said not-run");
  if (End == AttemptEnd::Answered)
    K.Answered_.insert(A.Send_.Attempt_);
  auto &R = Routers_[A.Router_];
  if (!R || K.Orphan_)
    return;
  bool Lie = Rule_ == Broken::RetryAfterReset && End == AttemptEnd::Reset;
  uint64_t Id = A.Send_.Request_;
  if (Rule_ == Broken::MixAnswers && End == AttemptEnd::Answered && Id > 1)
    --Id;
  R->attemptEnded({Id, A.Send_.Attempt_, Lie ? AttemptEnd::ConnectFailed : End,
                   Status, 1000},
                  Now_);
  drain();
}

void Fleet::leave(uint32_t Arg) {
  if (NextId_ == 0)
    return;
  auto &K = Requests_.at(1 + Arg % NextId_);
  if (!Routers_[K.Router_] || K.Orphan_)
    return;
  Routers_[K.Router_]->callerGone(K.Info_.Id_, Now_);
  drain();
}

void Fleet::changeListing(uint32_t Arg) {
  auto &U = Upstreams_[Arg % Upstreams_.size()];
  if (Arg % 5 == 0) {
    if (Delisted_.erase(U.Id_) == 0)
      Delisted_.insert(U.Id_);
  } else if (Arg % 5 == 1) {
    U.Connections_ = U.Connections_ == 16 ? 12 : 16;
  } else {
    U.Leaving_ = !U.Leaving_;
  }
  publish();
}

void Fleet::changeDomain(uint32_t Arg) {
  const char *D = Domains[Arg % 3];
  if (DomainsOut_.erase(D) == 0)
    DomainsOut_.insert(D);
  for (auto &R : Routers_)
    if (R)
      R->setDomainAvailable(D, DomainsOut_.count(D) == 0, Now_);
  drain();
}

void Fleet::lend(uint32_t Arg) {
  std::size_t From = Arg % RouterCount;
  std::size_t To = (From + 1 + Arg / 8 % 2) % RouterCount;
  if (!Routers_[From] || !Routers_[To])
    return;
  for (const auto &[Id, Count] : Routers_[From]->idleSlots(Now_)) {
    Routers_[From]->lendSlots(Id, Count, Now_ + seconds(5));
    Routers_[To]->borrowSlots(Id, Count, Now_ + seconds(5));
  }
}

// A returned instance is a new process. The others may still have requests on
// its slots, so slots are not judged for the longest request.
void Fleet::killOrReturn(uint32_t Arg) {
  std::size_t I = Arg % RouterCount;
  if (!Routers_[I]) {
    Routers_[I] = makeRouter(I);
    for (const std::string &D : DomainsOut_)
      Routers_[I]->setDomainAvailable(D, false, Now_);
    SendsOf_[I] = BegunOf_[I] = 0;
    SlotsTrusted_ = Now_ + seconds(31);
  } else if (live().size() > 1) {
    Routers_[I].reset();
    for (auto &[Id, K] : Requests_)
      if (K.Router_ == I)
        K.Orphan_ = true;
  }
  publish();
}

void Fleet::drain() {
  for (std::size_t I = 0; I < RouterCount; ++I) {
    if (!Routers_[I])
      continue;
    for (const route::RouteAction &Action : Routers_[I]->takeActions()) {
      if (auto *Send = std::get_if<route::SendAction>(&Action))
        onSend(I, *Send);
      else if (auto *Refuse = std::get_if<route::RefuseAction>(&Action))
        onRefuse(*Refuse);
      else if (auto *Deliver = std::get_if<route::DeliverAction>(&Action))
        onDeliver(*Deliver);
    }
    check(SendsOf_[I] <=
              BegunOf_[I] + static_cast<uint64_t>(
                                0.2 * static_cast<double>(BegunOf_[I]) + 1e-6),
          "more retries than the budget");
  }
  checkSlots();
}

void Fleet::onSend(std::size_t Router, const route::SendAction &Send) {
  Known &K = Requests_.at(Send.Request_);
  auto U = std::find_if(Upstreams_.begin(), Upstreams_.end(),
                        [&](const auto &U) { return U.Id_ == Send.Upstream_; });
  check(!U->Leaving_, "new work on a leaving upstream");
  check(Delisted_.count(U->Id_) == 0, "new work on a delisted upstream");
  check(DomainsOut_.count(U->Domain_) == 0, "new work in a domain that is out");
  check(U->Services_[0] == K.Info_.Service_, "upstream of another service");
  check(!K.Ended_ && K.Router_ == Router, "sent after its end");
  check(Send.Timeout_.count() > 0 && Now_ + Send.Timeout_ <= K.Info_.Deadline_,
        "attempt outlasts the deadline");
  Running_.push_back({Router, Send, Now_ + Send.Timeout_});
  ++SendsOf_[Router];
  ++Sends_;
}

void Fleet::onEnd(uint64_t Request, bool Delivered) {
  Known &K = Requests_.at(Request);
  check(!K.Ended_, Delivered ? "delivered twice" : "refused after its end");
  K.Ended_ = true;
}

void Fleet::onRefuse(const route::RefuseAction &Refuse) {
  onEnd(Refuse.Request_, false);
  Known &K = Requests_.at(Refuse.Request_);
  base::Outcome Told =
      Rule_ == Broken::ClaimNotRun ? base::Outcome::NotRun : Refuse.Outcome_;
  check(Told != base::Outcome::Ran, "refused as ran");
  check(Told == base::Outcome::Unknown || Rule_ == Broken::ClaimNotRun ||
            base::errorInfo(Refuse.Kind_).Outcome_ == base::Outcome::NotRun,
        "less cautious than the table");
  if (Told != base::Outcome::NotRun)
    return;
  K.ToldNotRun_ = true;
  bool Running =
      std::any_of(Running_.begin(), Running_.end(), [&](const Attempt &A) {
        return A.Send_.Request_ == Refuse.Request_;
      });
  check(!K.MayRun_ && !Running && K.Runs_ == 0, "not-run is not true");
}

void Fleet::onDeliver(const route::DeliverAction &Deliver) {
  onEnd(Deliver.Request_, true);
  check(Requests_.at(Deliver.Request_).Answered_.count(Deliver.Attempt_) != 0,
        "delivered an answer that did not come whole");
}

void Fleet::checkSlots() {
  if (Now_ < SlotsTrusted_)
    return;
  for (const auto &U : Upstreams_) {
    auto InUse =
        std::count_if(Running_.begin(), Running_.end(), [&](const Attempt &A) {
          return A.Send_.Upstream_ == U.Id_;
        });
    check(InUse <= U.Slots_, "more attempts than slots");
  }
}

void Fleet::finish() {
  advance(seconds(35));
  for (const auto &[Id, K] : Requests_)
    check(K.Ended_ || K.Orphan_, "a request never ended");
  for (const auto &R : Routers_) {
    if (!R)
      continue;
    check(R->inProgress() == 0 && R->queued() == 0, "requests left behind");
    for (const auto &View : R->upstreams())
      check(View.InFlight_ == 0, "slots left occupied");
  }
}

} // namespace fleet

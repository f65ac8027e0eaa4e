#include "app/Instance.h"

#include "app/internal/InstanceTimer.h"
#include "app/internal/PeerMessageHandler.h"
#include "base/Log.h"
#include "cluster/HttpInstanceList.h"
#include "cluster/HttpWorkerGateway.h"
#include "store/EtcdStore.h"

#include <algorithm>
#include <utility>

namespace crocuslead::app {

namespace {

constexpr auto RequestTick = std::chrono::milliseconds(10);
constexpr auto PartitionTick = std::chrono::milliseconds(50);
constexpr auto SessionTick = std::chrono::milliseconds(100);
// A leaving mark must take effect within 3 s.
constexpr auto ListInterval = std::chrono::seconds(2);
constexpr auto LendInterval = std::chrono::seconds(1);
constexpr auto LoadInterval = std::chrono::seconds(10);
constexpr auto LoadChangeInterval = std::chrono::seconds(2);
constexpr auto PullInterval = std::chrono::seconds(1);
constexpr auto SlotTerm = std::chrono::seconds(5);
// The platform's balancer needs a moment to see that readiness is off.
constexpr auto AcceptAfterDrain = std::chrono::seconds(2);
constexpr auto AnswerFetchTimeout = std::chrono::seconds(1);
// Age of the last store contact from which a peer counts as without it.
constexpr int64_t StoreLossAgeMs = 6000;
// Connections that are kept alive may bring a request until their callers see
// that they are closed.
constexpr auto QuietBeforeStop = std::chrono::seconds(1);
// The longest deadline of a request (600 s) and the time to answer it.
constexpr int HandleTimeoutMs = 630'000;
constexpr long ControlConnectionsPerHost = 4;

std::string makeIncarnation(base::Random &Random) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (int I = 0; I < 16; ++I)
    Out += Digits[Random.below(Digits.size())];
  return Out;
}

std::pair<std::string, uint16_t> splitAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  return {Address.substr(0, Colon),
          static_cast<uint16_t>(std::stoi(Address.substr(Colon + 1)))};
}

} // namespace

Instance::Instance(asio::io_context &Loop, const config::Settings &Settings,
                   const base::Clock &Clock, uint64_t Seed)
    : Loop_(Loop), Random_(Seed), Shared_{Loop, Clock, Settings, Random_,
                                          makeIncarnation(Random_)},
      RequestClient_(http::makeClient(Loop, 0)),
      ControlClient_(http::makeClient(Loop, ControlConnectionsPerHost)),
      Store_(store::makeEtcdStore(*ControlClient_, Loop, Settings.StoreUrl_,
                                  Traffic_.Store_)),
      List_(cluster::makeHttpInstanceList(
          *ControlClient_, Loop, Settings.InstanceListUrl_,
          std::chrono::seconds(2), Traffic_.List_)),
      Workers_(cluster::makeHttpWorkerGateway(*ControlClient_, Loop, {},
                                              Traffic_.Workers_)),
      Session_(Shared_, *Store_),
      Peers_(Shared_,
             [this](const std::string &Peer, link::Message Message) {
               received(Peer, std::move(Message));
             }),
      Claims_(Shared_,
              {[this](const std::string &Peer, const link::Message &Message) {
                 return Peers_.send(Peer, Message);
               },
               [this](const std::string &Partition) {
                 return Host_.ownerOf(Partition);
               },
               [this] { return ownershipProven(); }}),
      Host_(Shared_, Session_, *Workers_, Claims_,
            [this](const std::string &Peer, const link::Message &Message) {
              return Peers_.send(Peer, Message);
            }),
      Requests_(Shared_, *RequestClient_, Claims_,
                {[this]() -> const config::Configuration & {
                   return Session_.config().configuration();
                 },
                 [this](const std::string &Peer, const std::string &Key,
                        std::function<void(const http::Response *)> Done) {
                   fetchAnswer(Peer, Key, std::move(Done));
                 },
                 [this](const std::string &Workspace, base::Duration Took,
                        int Status) {
                   Metrics_
                       .histogram("crocuslead_request_seconds",
                                  "Duration of callers' requests.",
                                  {{"workspace", Workspace},
                                   {"status", std::to_string(Status)}})
                       .record(Took);
                 }}),
      Calls_(
          Shared_, Host_,
          [this](const std::string &Peer, const link::Message &Message) {
            return Peers_.send(Peer, Message);
          },
          [this](const std::string &Operation, const std::string &Body) {
            return answerCall(Operation, Body);
          }),
      Operators_(Shared_, Session_, Host_, Calls_,
                 {[this] { return notReady(); },
                  [this] { return metricsText(); }, [this] { return dump(); }}),
      Started_(Clock.now()) {}

Instance::~Instance() = default;

base::Result<void> Instance::open() {
  Session_.setHooks(
      {[this] { configChanged(); }, [this] { Host_.ownersChanged(); },
       [this](base::TimePoint SentAt) { Host_.leaseRenewed(SentAt); },
       [this] { Host_.leaseLost(); }, [this] { Host_.storeRegained(); }});
  BOOST_LEAF_CHECK(Peers_.open());
  BOOST_LEAF_CHECK(openListeners());
  updateLive();
  every(RequestTick, [this] {
    ownershipProven();
    Requests_.tick();
    Claims_.tick();
    Calls_.tick();
  });
  every(PartitionTick, [this] { Host_.tick(); });
  every(SessionTick, [this] {
    Session_.tick();
    tickPeers();
    if (Draining_)
      continueDrain();
  });
  every(ListInterval, [this] { fetchInstances(); });
  every(LendInterval, [this] { lendSlots(); });
  return {};
}

base::Result<void> Instance::openListeners() {
  http::ServerLimits Limits;
  Limits.MaxBodyBytes_ =
      static_cast<std::size_t>(Shared_.Settings_.MaxBodyBytes_);
  Limits.HandleTimeoutMs_ = HandleTimeoutMs;
  auto [Address, Port] = splitAddress(Shared_.Settings_.CallerAddress_);
  BOOST_LEAF_ASSIGN(
      CallerServer_,
      http::openServer(
          Loop_, Address, Port, Limits,
          [this](http::Request Request, std::shared_ptr<http::Responder> Out) {
            Requests_.handle(std::move(Request), std::move(Out));
          }));
  auto [ApiAddress, ApiPort] = splitAddress(Shared_.Settings_.OperatorAddress_);
  BOOST_LEAF_ASSIGN(
      OperatorServer_,
      http::openServer(Loop_, ApiAddress, ApiPort, http::ServerLimits{},
                       [this](const http::Request &Request,
                              const std::shared_ptr<http::Responder> &Out) {
                         Operators_.handle(Request, Out);
                       }));
  return {};
}

void Instance::every(base::Duration Interval, std::function<void()> Task) {
  Timers_.push_back(std::make_unique<Timer>(Loop_, Interval, std::move(Task)));
  Timers_.back()->arm();
}

void Instance::fetchInstances() {
  if (FetchingInstances_)
    return;
  FetchingInstances_ = true;
  List_->fetch(Instances_.Revision_, [this](const auto &Result) {
    FetchingInstances_ = false;
    const auto *Snapshot = std::get_if<cluster::InstanceSnapshot>(&Result);
    // An older list may come from a lagging replica; it must not undo a
    // leaving mark.
    if (Snapshot == nullptr || Snapshot->Revision_ <= Instances_.Revision_)
      return;
    Instances_ = *Snapshot;
    InstancesLoaded_ = true;
    applyInstances();
  });
}

void Instance::applyInstances() {
  Requests_.setInstances(Instances_);
  Host_.setInstances(Instances_);
}

void Instance::configChanged() {
  base::logEvent(base::LogLevel::Info, "configuration-applied",
                 {{"revision", Session_.config().revision()}});
  Requests_.configChanged();
  Host_.configChanged();
}

void Instance::updateLive() {
  std::vector<partition::LiveInstance> Live{
      {Shared_.Settings_.InstanceId_, Shared_.Settings_.Region_, !Draining_}};
  for (const member::PeerView &Each : Peers_.peers())
    if (Each.Alive_)
      Live.push_back({Each.Id_, Each.Region_, !Each.Draining_});
  Host_.setLive(std::move(Live));
  Requests_.setLive(Peers_.liveIds());
}

void Instance::tickPeers() {
  base::TimePoint Now = Shared_.Clock_.now();
  Peers_.tick({Session_.config().revision(), Session_.contactAgeMs(Now),
               Draining_,
               static_cast<uint32_t>(Requests_.router().shortage())});
  updateLive();
  std::string Newer = Peers_.newerConfigPeer(Session_.config().revision());
  if (!Newer.empty() && Now >= NextPull_) {
    NextPull_ = Now + PullInterval;
    Peers_.send(Newer, link::ConfigPull{Session_.config().revision()});
  }
  std::vector<uint64_t> Late;
  for (const auto &[Number, Call] : AnswerCalls_)
    if (Now >= Call.Deadline_)
      Late.push_back(Number);
  for (uint64_t Number : Late) {
    auto Done = std::move(AnswerCalls_[Number].Done_);
    AnswerCalls_.erase(Number);
    Done(nullptr);
  }
  sendLoad();
}

void Instance::sendLoad() {
  base::TimePoint Now = Shared_.Clock_.now();
  // A summary visits all tasks of the partitions, so it is not made each tick.
  if (Now < NextLoadCheck_)
    return;
  NextLoadCheck_ = Now + LoadChangeInterval;
  link::LoadSummary Summary = Host_.loadSummary();
  std::string Encoded = link::encode(Summary);
  bool Changed = Encoded != LastLoad_;
  if (!Changed && Now < NextLoad_)
    return;
  NextLoad_ = Now + LoadInterval;
  LastLoad_ = std::move(Encoded);
  Host_.setPeerLoad(Shared_.Settings_.InstanceId_, Summary);
  if (!Summary.Partitions_.empty())
    Peers_.broadcast(Summary);
}

void Instance::lendSlots() {
  route::Router &Router = Requests_.router();
  if (Router.queued() > 0)
    return;
  base::TimePoint Now = Shared_.Clock_.now();
  for (const member::PeerView &Peer : Peers_.peers()) {
    if (!Peer.Alive_ || Peer.SlotDemand_ == 0)
      continue;
    uint32_t Wanted = Peer.SlotDemand_;
    for (const auto &[Upstream, Idle] : Router.idleSlots(Now)) {
      if (Wanted == 0)
        break;
      int Count = std::min(Idle, static_cast<int>(Wanted));
      if (!Peers_.send(Peer.Id_,
                       link::SlotLend{Upstream, static_cast<uint32_t>(Count),
                                      base::toMillis(SlotTerm)}))
        break;
      Router.lendSlots(Upstream, Count, Now + SlotTerm);
      Wanted -= static_cast<uint32_t>(Count);
    }
  }
}

void Instance::received(const std::string &Peer, link::Message Message) {
  std::visit(PeerMessageHandler{*this, Peer}, Message);
}

void Instance::fetchAnswer(const std::string &Peer, const std::string &Key,
                           std::function<void(const http::Response *)> Done) {
  uint64_t Number = NextAnswerCall_++;
  if (!Peers_.send(Peer, link::AnswerFetch{Number, Key})) {
    Done(nullptr);
    return;
  }
  AnswerCalls_[Number] = {std::move(Done),
                          Shared_.Clock_.now() + AnswerFetchTimeout};
}

void Instance::drain(std::function<void()> Done) {
  if (Draining_)
    return;
  base::logEvent(base::LogLevel::Info, "drain-started",
                 {{"requests", static_cast<int64_t>(Requests_.active())}});
  Draining_ = true;
  DrainStarted_ = Shared_.Clock_.now();
  DrainDone_ = std::move(Done);
  Requests_.beginDrain();
  Host_.beginDrain();
}

bool Instance::ownershipProven() {
  base::TimePoint Now = Shared_.Clock_.now();
  bool LostEverywhere = Session_.contactAgeMs(Now) >= StoreLossAgeMs &&
                        Peers_.storeLostEverywhere(StoreLossAgeMs);
  return Proof_.isProven(Host_.ownershipConfirmed(), LostEverywhere, Now);
}

bool Instance::drainedForGood() const {
  // Without the store nothing can be handed over; the lease ends by itself.
  bool StoreReachable =
      Session_.contactAgeMs(Shared_.Clock_.now()) < StoreLossAgeMs;
  return AcceptingEnded_ && Requests_.active() == 0 &&
         (Host_.drained() || !StoreReachable);
}

void Instance::continueDrain() {
  base::TimePoint Now = Shared_.Clock_.now();
  base::Duration Elapsed = Now - DrainStarted_;
  if (Elapsed > AcceptAfterDrain && !AcceptingEnded_) {
    AcceptingEnded_ = true;
    CallerServer_->stopAccepting();
  }
  if (!drainedForGood())
    QuietSince_ = Now;
  bool Finished = Now - QuietSince_ >= QuietBeforeStop;
  if ((!Finished && Elapsed < MaxDrain) || LeaseRevoked_)
    return;
  LeaseRevoked_ = true;
  Session_.revokeLease([this] { finishDrain(); });
}

// Requests on kept connections may have arrived while the lease was revoked.
void Instance::finishDrain() {
  base::Duration Elapsed = Shared_.Clock_.now() - DrainStarted_;
  if (Requests_.active() > 0 && Elapsed < MaxDrain) {
    every(SessionTick, [this] {
      if (Requests_.active() == 0 && DrainDone_)
        std::exchange(DrainDone_, nullptr)();
    });
    return;
  }
  base::logEvent(base::LogLevel::Info, "drain-finished",
                 {{"took_ms", base::toMillis(Elapsed)}});
  Peers_.close();
  if (DrainDone_)
    std::exchange(DrainDone_, nullptr)();
}

std::vector<std::string> Instance::notReady() const {
  std::vector<std::string> Out;
  if (Draining_)
    Out.emplace_back("draining");
  if (!Session_.configLoaded())
    Out.emplace_back("configuration not loaded");
  if (!InstancesLoaded_)
    Out.emplace_back("instance list not loaded");
  return Out;
}

} // namespace crocuslead::app

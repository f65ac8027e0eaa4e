#include "app/PeerHub.h"

#include "base/Log.h"

namespace crocuslead::app {

namespace {

std::vector<member::PeerInfo> peersOf(const config::Settings &Settings) {
  std::vector<member::PeerInfo> Out;
  for (const config::PeerSettings &Each : Settings.Instances_)
    if (Each.Id_ != Settings.InstanceId_)
      Out.push_back({Each.Id_, Each.Region_});
  return Out;
}

} // namespace

PeerHub::PeerHub(const Context &Shared, Handler OnMessage)
    : Shared_(Shared), OnMessage_(std::move(OnMessage)),
      Members_(Shared.Settings_.InstanceId_, peersOf(Shared.Settings_)) {}

base::Result<void> PeerHub::open() {
  link::LinkSettings Settings;
  Settings.Self_ = Shared_.Settings_.InstanceId_;
  Settings.Incarnation_ = Shared_.Incarnation_;
  Settings.ListenAddress_ = Shared_.Settings_.LinkAddress_;
  Settings.SharedKey_ = Shared_.Settings_.SharedKey_;
  for (const config::PeerSettings &Each : Shared_.Settings_.Instances_)
    if (Each.Id_ != Settings.Self_)
      Settings.Peers_.push_back({Each.Id_, Each.LinkAddress_});
  auto Opened = link::openLink(
      Shared_.Loop_, std::move(Settings),
      [this](const std::string &Peer, const std::string &Incarnation,
             link::Message Message) {
        received(Peer, Incarnation, std::move(Message));
      },
      [this](const std::string &Peer, bool Connected) {
        base::logEvent(base::LogLevel::Info,
                       Connected ? "peer-connected" : "peer-disconnected",
                       {{"peer", Peer}});
        Members_.peerConnected(Peer, Connected, Shared_.Clock_.now());
      });
  if (!Opened)
    return Opened.error();
  Link_ = std::move(Opened.value());
  return {};
}

void PeerHub::received(const std::string &Peer, const std::string &Incarnation,
                       link::Message Message) {
  base::TimePoint Now = Shared_.Clock_.now();
  if (const auto *AsPing = std::get_if<link::Ping>(&Message)) {
    Members_.received(Peer, Incarnation, *AsPing, Now);
    // The pong leaves at once: late ones would not count as evidence.
    for (auto &[To, Answer] : Members_.tick(Now))
      send(To, Answer);
    return;
  }
  if (const auto *AsPong = std::get_if<link::Pong>(&Message)) {
    Members_.received(Peer, Incarnation, *AsPong, Now);
    return;
  }
  OnMessage_(Peer, std::move(Message));
}

void PeerHub::tick(const OwnState &Own) {
  Members_.setOwnState(Own.ConfigRevision_, Own.StoreContactAgeMs_,
                       Own.Draining_, Own.SlotDemand_);
  for (auto &[Peer, Message] : Members_.tick(Shared_.Clock_.now()))
    send(Peer, Message);
}

bool PeerHub::send(const std::string &Peer, const link::Message &Message) {
  return Link_ && Link_->send(Peer, Message);
}

void PeerHub::broadcast(const link::Message &Message) {
  for (const member::PeerView &Each : peers())
    if (Each.Alive_)
      send(Each.Id_, Message);
}

std::vector<member::PeerView> PeerHub::peers() const {
  return Members_.peers(Shared_.Clock_.now());
}

std::vector<std::string> PeerHub::liveIds() const {
  std::vector<std::string> Out{Shared_.Settings_.InstanceId_};
  for (const member::PeerView &Each : peers())
    if (Each.Alive_)
      Out.push_back(Each.Id_);
  return Out;
}

bool PeerHub::storeLostEverywhere(int64_t LossAgeMs) const {
  return Members_.storeLostEverywhere(Shared_.Clock_.now(), LossAgeMs);
}

std::string PeerHub::newerConfigPeer(int64_t OwnRevision) const {
  return Members_.newerConfigPeer(OwnRevision, Shared_.Clock_.now());
}

link::LinkCounters PeerHub::counters() const {
  return Link_ ? Link_->counters() : link::LinkCounters{};
}

void PeerHub::close() {
  if (Link_)
    Link_->close();
}

} // namespace crocuslead::app

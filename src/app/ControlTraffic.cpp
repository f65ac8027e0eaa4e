#include "app/ControlTraffic.h"

namespace crocuslead::app {

namespace {

// A WebSocket header has 2 bytes in one direction and 6, with the mask, in the
// other; each connection carries both.
constexpr uint64_t FrameHeaderBytes = 4;

ControlRow storeRow(store::CallKind Kind, const store::CallCounters &Of) {
  ControlRow Out;
  Out.Kind_ = "store-" + std::string(store::callKindName(Kind));
  // Idle instances commit nothing: a transaction is a journal commit or an
  // operator's change.
  (Kind == store::CallKind::Txn ? Out.Work_ : Out.Control_) =
      Of.BytesSent_ + Of.BytesReceived_;
  Out.Calls_ = Of.Calls_;
  return Out;
}

} // namespace

std::vector<ControlRow> controlRows(const ControlTraffic &Traffic,
                                    const link::LinkCounters &Link) {
  std::vector<ControlRow> Out;
  for (std::size_t I = 0; I < store::CallKindCount; ++I)
    Out.push_back(
        storeRow(static_cast<store::CallKind>(I), Traffic.Store_->Kinds_[I]));
  const cluster::GatewayCounters &Workers = *Traffic.Workers_;
  Out.push_back(
      {"workers", Workers.RenewalBytes_,
       Workers.BytesSent_ + Workers.BytesReceived_ - Workers.RenewalBytes_,
       Workers.Messages_});
  Out.push_back({"instance-list",
                 Traffic.List_->BytesSent_ + Traffic.List_->BytesReceived_, 0,
                 0});
  uint64_t Frames = Link.FramesSent_ + Link.FramesReceived_;
  uint64_t Control =
      Link.ControlBytes_ + FrameHeaderBytes * Link.ControlFrames_;
  Out.push_back({"link", Control,
                 Link.BytesSent_ + Link.BytesReceived_ +
                     FrameHeaderBytes * Frames - Control,
                 Frames});
  return Out;
}

} // namespace crocuslead::app

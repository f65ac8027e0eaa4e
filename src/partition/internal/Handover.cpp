#include "partition/internal/Codec.h"
#include "partition/internal/Impl.h"

namespace crocuslead::partition {

namespace {

constexpr const char *HandoverKey = "handover";

} // namespace

// A worker with a grant on its way is left out: the end of its lease is not
// known yet.
store::Put Partition::Impl::prepareHandover() {
  GrantsEnded_ = true;
  LeaseHandover Out;
  Out.Epoch_ = Settings_.Epoch_;
  for (const WorkerState &Worker : Workers_) {
    bool GrantInFlight = Worker.Token_ != 0 && Worker.GrantedLease_.count() > 0;
    if (!Worker.ActiveTasks_.empty() && !GrantInFlight)
      Out.LeaseLeft_[Worker.Id_] =
          std::max(base::Duration(0), Worker.LeaseEnd_ - Now_);
  }
  return {Journal_.keyPrefix() + HandoverKey, encodeHandover(Out), 0};
}

// An owner between the two may have granted leases. The rests are counted from
// the takeover, so what has passed since the record makes the wait longer only.
void Partition::Impl::restoreHandover(
    const std::vector<store::KeyValue> &Stored) {
  std::string Key = Journal_.keyPrefix() + HandoverKey;
  for (const store::KeyValue &Value : Stored) {
    if (Value.Key_ != Key)
      continue;
    auto Read = decodeHandover(Value.Value_);
    if (Read && Read->Epoch_ == Settings_.PriorEpoch_)
      HandedOverLeases_ = std::move(Read->LeaseLeft_);
  }
}

} // namespace crocuslead::partition

#include "route/internal/SlotShare.h"

#include "base/Hash.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuslead::route {

InstanceView::InstanceView(std::vector<std::string> Instances,
                           const std::string &Self,
                           const std::map<std::string, std::string> &Regions)
    : Instances_(std::move(Instances)) {
  std::sort(Instances_.begin(), Instances_.end());
  Instances_.erase(std::unique(Instances_.begin(), Instances_.end()),
                   Instances_.end());
  auto Found = std::find(Instances_.begin(), Instances_.end(), Self);
  if (Found == Instances_.end())
    Found = Instances_.insert(Instances_.end(), Self);
  Self_ = static_cast<std::size_t>(Found - Instances_.begin());
  for (const std::string &Name : Instances_) {
    auto Region = Regions.find(Name);
    Regions_.push_back(Region == Regions.end() ? "" : Region->second);
  }
  DeadSince_.resize(Instances_.size());
  PassedOn_.resize(Instances_.size(), false);
}

void InstanceView::setLive(const std::vector<std::string> &Live,
                           base::TimePoint Now) {
  for (std::size_t I = 0; I < Instances_.size(); ++I) {
    bool Alive = I == Self_ ||
                 std::binary_search(Live.begin(), Live.end(), Instances_[I]);
    if (Alive)
      DeadSince_[I] = std::nullopt;
    else if (!DeadSince_[I])
      DeadSince_[I] = Now;
  }
}

bool InstanceView::refresh(base::TimePoint Now) {
  bool Changed = false;
  for (std::size_t I = 0; I < Instances_.size(); ++I) {
    bool Passed = DeadSince_[I] && Now >= *DeadSince_[I] + HandoverDelay;
    Changed = Changed || Passed != PassedOn_[I];
    PassedOn_[I] = Passed;
  }
  return Changed;
}

SlotShare::SlotShare(const UpstreamInfo &Upstream, ShareKind Kind,
                     const InstanceView &View) {
  std::size_t Instances = View.instances().size();
  bool Slots = Kind == ShareKind::Slots;
  int Count = Slots ? Upstream.Slots_ : Upstream.Connections_;
  for (int Slot = 0; Slot < Count; ++Slot) {
    std::string Key = Upstream.Id_ + (Slots ? "/slot/" : "/connection/") +
                      std::to_string(Slot);
    auto Rank = [&](std::size_t I) {
      return std::make_tuple(Slots && View.inRegion(I, Upstream.Region_),
                             base::rendezvousWeight(Key, View.instances()[I]),
                             I);
    };
    auto Own = Rank(View.self());
    std::vector<uint16_t> Ahead;
    for (std::size_t I = 0; I < Instances; ++I)
      if (Rank(I) > Own)
        Ahead.push_back(static_cast<uint16_t>(I));
    Ahead_.push_back(std::move(Ahead));
  }
  refresh(View);
}

void SlotShare::refresh(const InstanceView &View) {
  Held_ = static_cast<int>(std::count_if(
      Ahead_.begin(), Ahead_.end(), [&](const std::vector<uint16_t> &Ahead) {
        return std::all_of(Ahead.begin(), Ahead.end(),
                           [&](uint16_t I) { return View.passedOn(I); });
      }));
}

void SlotLoans::add(int Count, base::TimePoint Until) {
  if (Count > 0)
    Loans_.push_back({Count, Until});
}

int SlotLoans::total(base::TimePoint Now) const {
  int Sum = 0;
  for (const Loan &L : Loans_)
    if (L.Until_ > Now)
      Sum += L.Count_;
  return Sum;
}

void SlotLoans::prune(base::TimePoint Now) {
  Loans_.erase(std::remove_if(Loans_.begin(), Loans_.end(),
                              [&](const Loan &L) { return L.Until_ <= Now; }),
               Loans_.end());
}

} // namespace crocuslead::route

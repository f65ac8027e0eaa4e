#include "route/internal/RequestQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuslead::route {

void RequestQueue::add(const std::string &Service, const Entry &Value) {
  if (Lines_[Service].insert(Value).second)
    ++Size_;
}

void RequestQueue::remove(const std::string &Service, const Entry &Value) {
  auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return;
  Size_ -= Found->second.erase(Value);
  if (Found->second.empty())
    Lines_.erase(Found);
}

bool RequestQueue::empty(const std::string &Service) const {
  return Lines_.count(Service) == 0;
}

std::vector<std::string> RequestQueue::services() const {
  std::vector<std::pair<Entry, std::string>> Heads;
  Heads.reserve(Lines_.size());
  for (const auto &[Service, Line] : Lines_)
    Heads.emplace_back(*Line.begin(), Service);
  std::sort(Heads.begin(), Heads.end());
  std::vector<std::string> Names;
  Names.reserve(Heads.size());
  for (auto &[Head, Service] : Heads)
    Names.push_back(std::move(Service));
  return Names;
}

std::vector<uint64_t> RequestQueue::next(const std::string &Service,
                                         std::size_t Limit,
                                         base::TimePoint Now) const {
  std::vector<uint64_t> Ids;
  auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return Ids;
  const Line &Waiting = Found->second;
  for (auto At = Waiting.begin(); At != Waiting.end() && Ids.size() < Limit;) {
    auto End = Waiting.lower_bound(Entry{At->Rank_ - 1, 0, 0, {}});
    if (standing(*At, Now))
      for (auto Back = End; Back != At && Ids.size() < Limit;)
        Ids.push_back((--Back)->Request_);
    else
      for (auto Each = At; Each != End && Ids.size() < Limit; ++Each)
        Ids.push_back(Each->Request_);
    At = End;
  }
  return Ids;
}

std::optional<uint64_t> RequestQueue::victimFor(int64_t Rank,
                                                base::TimePoint Now) const {
  const Entry *Lowest = nullptr;
  for (const auto &[Service, Line] : Lines_) {
    int64_t Last = Line.rbegin()->Rank_;
    const Entry &Oldest = *Line.lower_bound(Entry{Last, 0, 0, {}});
    if (!Lowest || Oldest.Rank_ < Lowest->Rank_ ||
        (Oldest.Rank_ == Lowest->Rank_ && Oldest.Order_ < Lowest->Order_))
      Lowest = &Oldest;
  }
  if (!Lowest || Lowest->Rank_ > Rank ||
      (Lowest->Rank_ == Rank && !standing(*Lowest, Now)))
    return std::nullopt;
  return Lowest->Request_;
}

} // namespace crocuslead::route

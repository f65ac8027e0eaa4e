#include "jobs/PayloadCache.h"

namespace crocuslead::jobs {

void PayloadCache::add(const std::string &Job, const std::string &Payload) {
  auto [It, Added] = Payloads_.emplace(Job, Payload);
  if (!Added) {
    Bytes_ += Payload.size() - It->second.size();
    It->second = Payload;
    return;
  }
  Jobs_.push_back(Job);
  Bytes_ += Job.size() + Payload.size();
  while (Bytes_ > MaxBytes_ && Jobs_.size() > 1) {
    auto Oldest = Payloads_.find(Jobs_.front());
    Bytes_ -= Oldest->first.size() + Oldest->second.size();
    Payloads_.erase(Oldest);
    Jobs_.pop_front();
  }
}

const std::string *PayloadCache::find(const std::string &Job) const {
  auto It = Payloads_.find(Job);
  return It == Payloads_.end() ? nullptr : &It->second;
}

} // namespace crocuslead::jobs

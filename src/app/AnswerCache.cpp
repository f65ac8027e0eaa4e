#include "app/AnswerCache.h"

namespace crocuslead::app {

std::size_t AnswerCache::sizeOf(const Kept &Value) {
  std::size_t Sum = Value.Key_.size() + Value.Answer_.Body_.size();
  for (const auto &[Name, Text] : Value.Answer_.Headers_)
    Sum += Name.size() + Text.size();
  return Sum;
}

void AnswerCache::keep(const std::string &Key, http::Response Answer,
                       base::TimePoint Now) {
  expire(Now);
  if (Answer.Body_.size() > MaxAnswerBytes || ByKey_.count(Key) != 0)
    return;
  Order_.push_back({Key, std::move(Answer), Now});
  ByKey_[Key] = std::prev(Order_.end());
  Bytes_ += sizeOf(Order_.back());
  while (Bytes_ > MaxBytes)
    dropOldest();
}

const http::Response *AnswerCache::find(const std::string &Key,
                                        base::TimePoint Now) {
  expire(Now);
  auto Found = ByKey_.find(Key);
  return Found == ByKey_.end() ? nullptr : &Found->second->Answer_;
}

void AnswerCache::expire(base::TimePoint Now) {
  while (!Order_.empty() && Now - Order_.front().At_ > KeepFor)
    dropOldest();
}

void AnswerCache::dropOldest() {
  Bytes_ -= sizeOf(Order_.front());
  ByKey_.erase(Order_.front().Key_);
  Order_.pop_front();
}

} // namespace crocuslead::app

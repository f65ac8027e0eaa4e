#include "jobs/internal/UsedWorkers.h"

#include "base/Log.h"
#include "jobs/internal/LeaseLeft.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace crocuslead::jobs::internal {

namespace {

using nlohmann::json;

constexpr std::size_t RowSize = 3;
constexpr std::size_t LongestLeaseIndex = 3;
constexpr std::size_t AbandonedIndex = 4;
constexpr std::size_t LeaseEndedIndex = 5;
constexpr std::size_t LeaseLeftIndex = 6;
constexpr std::size_t LeaseLeftTermIndex = 7;
constexpr std::size_t UnlocatedLeftIndex = 8;
constexpr std::size_t UnseenAbandonedIndex = 9;
constexpr std::size_t UnlocatedJobsIndex = 10;

bool isTextArray(const json &Value) {
  return Value.is_array() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const json &Each) { return Each.is_string(); });
}

std::optional<UsedWorker> decodeRow(const json &Row) {
  if (!Row.is_array() || Row.size() < RowSize || !Row[0].is_string() ||
      !Row[1].is_string() || !Row[2].is_number_integer())
    return std::nullopt;
  UsedWorker Out;
  Out.Id_ = Row[0].get<std::string>();
  Out.Address_ = Row[1].get<std::string>();
  Out.StartTimeMs_ = Row[2].get<int64_t>();
  auto Flag = [&](std::size_t Index) {
    return Row.size() > Index && Row[Index] == true;
  };
  Out.MayHoldLongestLease_ = Flag(LongestLeaseIndex);
  Out.RunsAbandoned_ = Flag(AbandonedIndex);
  Out.LeaseEnded_ = Flag(LeaseEndedIndex);
  Out.UnseenAbandoned_ = Flag(UnseenAbandonedIndex);
  auto Has = [&](std::size_t Index) {
    return Row.size() > Index && !Row[Index].is_null();
  };
  if (Has(UnlocatedLeftIndex)) {
    if (!Row[UnlocatedLeftIndex].is_number_integer())
      return std::nullopt;
    Out.UnlocatedLeft_ = leaseLeftOf(Row[UnlocatedLeftIndex].get<int64_t>());
  }
  if (Has(UnlocatedJobsIndex)) {
    if (!isTextArray(Row[UnlocatedJobsIndex]))
      return std::nullopt;
    Out.UnlocatedJobs_ =
        Row[UnlocatedJobsIndex].get<std::vector<std::string>>();
  }
  if (Has(LeaseLeftIndex)) {
    if (Row.size() <= LeaseLeftTermIndex ||
        !Row[LeaseLeftIndex].is_number_integer() ||
        !Row[LeaseLeftTermIndex].is_number_unsigned())
      return std::nullopt;
    Out.LeaseLeft_ = leaseLeftOf(Row[LeaseLeftIndex].get<int64_t>());
    Out.LeaseLeftTerm_ = Row[LeaseLeftTermIndex].get<uint64_t>();
    if (!Out.LeaseLeft_)
      return std::nullopt;
  }
  return Out;
}

json millisOrNull(const std::optional<base::Duration> &Left) {
  return Left ? json(leaseLeftMillis(*Left)) : json();
}

} // namespace

std::string encodeUsedWorkers(const std::vector<UsedWorker> &Workers) {
  json Rows = json::array();
  for (const UsedWorker &Each : Workers) {
    json Row = {Each.Id_, Each.Address_, Each.StartTimeMs_};
    if (Each.MayHoldLongestLease_ || Each.RunsAbandoned_ || Each.LeaseEnded_ ||
        Each.LeaseLeft_ || Each.UnlocatedLeft_ || Each.UnseenAbandoned_) {
      Row.push_back(Each.MayHoldLongestLease_);
      Row.push_back(Each.RunsAbandoned_);
      Row.push_back(Each.LeaseEnded_);
    }
    if (Each.LeaseLeft_ || Each.UnlocatedLeft_ || Each.UnseenAbandoned_) {
      Row.push_back(millisOrNull(Each.LeaseLeft_));
      Row.push_back(Each.LeaseLeft_ ? json(Each.LeaseLeftTerm_) : json());
    }
    if (Each.UnlocatedLeft_ || Each.UnseenAbandoned_)
      Row.push_back(millisOrNull(Each.UnlocatedLeft_));
    if (Each.UnseenAbandoned_ || Each.UnlocatedJobs_)
      Row.push_back(Each.UnseenAbandoned_);
    if (Each.UnlocatedJobs_)
      Row.push_back(*Each.UnlocatedJobs_);
    Rows.push_back(std::move(Row));
  }
  return Rows.dump();
}

UsedWorkers decodeUsedWorkers(const std::string &Record) {
  UsedWorkers Out;
  json Rows = json::parse(Record, nullptr, false);
  if (!Rows.is_array()) {
    base::logEvent(base::LogLevel::Error, "used-workers-unreadable",
                   {{"bytes", static_cast<int64_t>(Record.size())}});
    Out.Complete_ = false;
    return Out;
  }
  int64_t Unreadable = 0;
  for (const json &Row : Rows)
    if (auto Decoded = decodeRow(Row))
      Out.Rows_.push_back(std::move(*Decoded));
    else
      ++Unreadable;
  if (Unreadable > 0)
    base::logEvent(base::LogLevel::Error, "used-workers-unreadable",
                   {{"rows", Unreadable}});
  Out.Complete_ = Unreadable == 0;
  return Out;
}

} // namespace crocuslead::jobs::internal

#include "app/ConfigWriter.h"

#include "base/Log.h"
#include "config/Validate.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

// Each attempt loses only to another accepted change; the busiest hour has a
// few a minute.
constexpr int MaxAttempts = 8;

template <typename T> const T *success(const store::StoreResult<T> &Result) {
  return std::get_if<T>(&Result);
}

CallAnswer accepted(const std::string &Key, int64_t Revision) {
  return {200, json{{"key", Key}, {"revision", Revision}}.dump()};
}

CallAnswer conflict(int64_t Current) {
  return errorCallAnswer(base::ErrorKind::Conflict,
                         "changed by someone else meanwhile; the revision is "
                         "now " +
                             std::to_string(Current));
}

CallAnswer storeUnavailable() {
  return errorCallAnswer(base::ErrorKind::StoreUnavailable,
                         "the store did not answer; nothing was changed");
}

CallAnswer outcomeUnknown() {
  return errorCallAnswer(
      base::ErrorKind::OutcomeUnknown,
      "the store's answer was lost; read the entry before repeating");
}

//! The answer for a failed check, or none when it passed.
std::optional<CallAnswer>
failureOf(const std::function<base::Result<void>()> &Check) {
  std::optional<CallAnswer> Out;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> { return Check(); },
      [&](const base::Error &Failure) {
        Out = errorCallAnswer(Failure.Kind_, Failure.Message_);
      },
      [&] {
        Out = errorCallAnswer(base::ErrorKind::InvalidRequest,
                              "the value is not valid");
      });
  return Out;
}

} // namespace

void ConfigWriter::put(const std::string &Key, const std::string &Value,
                       std::optional<int64_t> Expected, const Callback &Done) {
  Change Wanted;
  Wanted.Key_ = Key;
  Wanted.Make_ = [Value](const std::string &) -> base::Result<std::string> {
    return Value;
  };
  Wanted.Seen_ = Expected;
  Wanted.Done_ = Done;
  attempt(std::move(Wanted));
}

void ConfigWriter::remove(const std::string &Key,
                          std::optional<int64_t> Expected,
                          const Callback &Done) {
  Change Wanted;
  Wanted.Key_ = Key;
  Wanted.Delete_ = true;
  Wanted.Seen_ = Expected;
  Wanted.Done_ = Done;
  attempt(std::move(Wanted));
}

void ConfigWriter::putDomain(const std::string &Name, const std::string &Patch,
                             std::optional<int64_t> Expected,
                             const Callback &Done) {
  json Fields = json::parse(Patch, nullptr, false);
  if (!Fields.is_object()) {
    Done(errorCallAnswer(base::ErrorKind::InvalidRequest,
                         "expected a JSON object with region or state"));
    return;
  }
  Change Wanted;
  Wanted.Key_ = config::DomainsKey;
  Wanted.Make_ =
      [Name, Fields](const std::string &Current) -> base::Result<std::string> {
    json All = json::parse(Current, nullptr, false);
    if (!All.is_object())
      All = json::object();
    if (!All.contains(Name))
      All[Name] = {{"state", "in-service"}};
    if (!All[Name].is_object())
      return base::fail(base::ErrorKind::InvalidRequest,
                        "the stored failure domain is not an object");
    All[Name].update(Fields);
    return All.dump();
  };
  Wanted.Seen_ = Expected;
  Wanted.Done_ = Done;
  attempt(std::move(Wanted));
}

void ConfigWriter::attempt(Change Wanted) {
  ++Wanted.Attempts_;
  Session_.store().range(
      VersionKey, OwnerPrefix,
      [this, Wanted = std::move(Wanted)](const auto &Result) {
        if (const auto *Reply = success(Result))
          checkAndWrite(Wanted, *Reply);
        else
          Wanted.Done_(storeUnavailable());
      });
}

void ConfigWriter::checkAndWrite(Change Wanted,
                                 const store::RangeReply &Current) {
  store::RangeReply ConfigPart;
  ConfigPart.Revision_ = Current.Revision_;
  int64_t Version = 0;
  store::KeyValue Present;
  for (const store::KeyValue &Each : Current.Values_) {
    if (Each.Key_ == VersionKey)
      Version = Each.ModRevision_;
    else
      ConfigPart.Values_.push_back(Each);
    if (Each.Key_ == Wanted.Key_)
      Present = Each;
  }
  Wanted.Expected_ = Wanted.Seen_.value_or(Present.ModRevision_);
  if (Wanted.Expected_ != Present.ModRevision_) {
    Wanted.Done_(conflict(Present.ModRevision_));
    return;
  }
  if (Wanted.Delete_ && Present.ModRevision_ == 0) {
    Wanted.Done_(errorCallAnswer(base::ErrorKind::NotFound, "no such entry"));
    return;
  }
  config::ConfigState State;
  State.applyRange(ConfigPart);
  auto Failure = failureOf([&]() -> base::Result<void> {
    if (Wanted.Delete_)
      return config::validateDelete(State, Wanted.Key_);
    BOOST_LEAF_ASSIGN(Wanted.Value_, Wanted.Make_(Present.Value_));
    return config::validatePut(State, Wanted.Key_, Wanted.Value_);
  });
  if (Failure)
    Wanted.Done_(*Failure);
  else
    write(Wanted, Version);
}

void ConfigWriter::write(const Change &Wanted, int64_t Version) {
  store::Txn Txn;
  Txn.Compares_ = {
      {Wanted.Key_, store::CompareTarget::ModRevision, Wanted.Expected_},
      {VersionKey, store::CompareTarget::ModRevision, Version}};
  if (Wanted.Delete_)
    Txn.Deletes_ = {{Wanted.Key_, ""}};
  else
    Txn.Puts_ = {{Wanted.Key_, Wanted.Value_, 0}};
  Txn.Puts_.push_back({VersionKey, Wanted.Key_, 0});
  Session_.store().txn(std::move(Txn), [this, Wanted](const auto &Result) {
    const auto *Reply = success(Result);
    if (Reply != nullptr && Reply->Succeeded_) {
      base::logEvent(base::LogLevel::Info, "configuration-accepted",
                     {{"key", Wanted.Key_}, {"revision", Reply->Revision_}});
      Wanted.Done_(accepted(Wanted.Key_, Reply->Revision_));
      return;
    }
    if (Reply != nullptr)
      resolve(Wanted, /*Uncertain=*/false);
    else if (std::get<store::StoreError>(Result).MayHaveApplied_)
      resolve(Wanted, /*Uncertain=*/true);
    else
      Wanted.Done_(storeUnavailable());
  });
}

void ConfigWriter::resolve(const Change &Wanted, bool Uncertain) {
  Session_.store().range(
      Wanted.Key_, "", [this, Wanted, Uncertain](const auto &Result) {
        const auto *Reply = success(Result);
        if (Reply == nullptr) {
          Wanted.Done_(Uncertain ? outcomeUnknown() : storeUnavailable());
          return;
        }
        store::KeyValue Current =
            Reply->Values_.empty() ? store::KeyValue{} : Reply->Values_.front();
        bool Applied = Wanted.Delete_
                           ? Current.ModRevision_ == 0
                           : Current.Value_ == Wanted.Value_ &&
                                 Current.ModRevision_ > Wanted.Expected_;
        if (Uncertain && Applied)
          Wanted.Done_(accepted(Wanted.Key_, Current.ModRevision_));
        else if (Current.ModRevision_ != Wanted.Expected_)
          Wanted.Done_(conflict(Current.ModRevision_));
        else if (Uncertain)
          // The write may still be on its way to the store.
          Wanted.Done_(outcomeUnknown());
        else if (Wanted.Attempts_ < MaxAttempts)
          // Only another key changed.
          attempt(Wanted);
        else
          Wanted.Done_(errorCallAnswer(base::ErrorKind::Conflict,
                                       "the configuration changes too often; "
                                       "nothing was changed, repeat"));
      });
}

} // namespace crocuslead::app

#include "app/ConfigWriter.h"

#include "base/Log.h"
#include "config/Validate.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

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

void ConfigWriter::readThen(const std::string &Key, const Callback &Done,
                            std::function<void(const store::KeyValue &)> Next) {
  Session_.store().range(
      Key, "", [Done, Next = std::move(Next)](const auto &Result) {
        const auto *Reply = success(Result);
        if (Reply == nullptr)
          Done(storeUnavailable());
        else
          Next(Reply->Values_.empty() ? store::KeyValue{}
                                      : Reply->Values_.front());
      });
}

void ConfigWriter::put(const std::string &Key, const std::string &Value,
                       std::optional<int64_t> Expected, const Callback &Done) {
  auto Failure = failureOf(
      [&] { return config::validatePut(Session_.config(), Key, Value); });
  if (Failure) {
    Done(*Failure);
    return;
  }
  if (Expected) {
    write({Key, Value, false, *Expected, Done});
    return;
  }
  readThen(Key, Done, [this, Key, Value, Done](const store::KeyValue &Current) {
    write({Key, Value, false, Current.ModRevision_, Done});
  });
}

void ConfigWriter::remove(const std::string &Key,
                          std::optional<int64_t> Expected,
                          const Callback &Done) {
  auto Failure =
      failureOf([&] { return config::validateDelete(Session_.config(), Key); });
  if (Failure) {
    Done(*Failure);
    return;
  }
  if (Expected) {
    write({Key, "", true, *Expected, Done});
    return;
  }
  readThen(Key, Done, [this, Key, Done](const store::KeyValue &Current) {
    if (Current.ModRevision_ == 0)
      Done(errorCallAnswer(base::ErrorKind::NotFound, "no such entry"));
    else
      write({Key, "", true, Current.ModRevision_, Done});
  });
}

void ConfigWriter::putDomain(const std::string &Name, const std::string &Patch,
                             std::optional<int64_t> Expected,
                             const Callback &Done) {
  json Change = json::parse(Patch, nullptr, false);
  if (!Change.is_object()) {
    Done(errorCallAnswer(base::ErrorKind::InvalidRequest,
                         "expected a JSON object with region or state"));
    return;
  }
  std::string Key = config::DomainsKey;
  readThen(Key, Done,
           [this, Key, Name, Change, Expected,
            Done](const store::KeyValue &Current) {
             json All = json::parse(Current.Value_, nullptr, false);
             if (!All.is_object())
               All = json::object();
             if (!All.contains(Name))
               All[Name] = {{"state", "in-service"}};
             All[Name].update(Change);
             std::string Value = All.dump();
             auto Failure = failureOf([&] {
               return config::validatePut(Session_.config(), Key, Value);
             });
             if (Failure)
               Done(*Failure);
             else
               write({Key, Value, false,
                      Expected.value_or(Current.ModRevision_), Done});
           });
}

void ConfigWriter::write(const Change &Wanted) {
  store::Txn Txn;
  Txn.Compares_ = {
      {Wanted.Key_, store::CompareTarget::ModRevision, Wanted.Expected_}};
  if (Wanted.Delete_)
    Txn.Deletes_ = {{Wanted.Key_, ""}};
  else
    Txn.Puts_ = {{Wanted.Key_, Wanted.Value_, 0}};
  Txn.Puts_.push_back({VersionKey, Wanted.Key_, 0});
  Session_.store().txn(std::move(Txn), [this, Wanted](const auto &Result) {
    if (const auto *Reply = success(Result)) {
      if (!Reply->Succeeded_) {
        resolve(Wanted);
        return;
      }
      base::logEvent(base::LogLevel::Info, "configuration-accepted",
                     {{"key", Wanted.Key_}, {"revision", Reply->Revision_}});
      Wanted.Done_(accepted(Wanted.Key_, Reply->Revision_));
      return;
    }
    if (std::get<store::StoreError>(Result).MayHaveApplied_)
      resolve(Wanted);
    else
      Wanted.Done_(storeUnavailable());
  });
}

void ConfigWriter::resolve(const Change &Wanted) {
  readThen(
      Wanted.Key_,
      [Wanted](const CallAnswer &) {
        Wanted.Done_(errorCallAnswer(
            base::ErrorKind::OutcomeUnknown,
            "the store's answer was lost; read the entry before repeating"));
      },
      [Wanted](const store::KeyValue &Current) {
        bool Applied = Wanted.Delete_
                           ? Current.ModRevision_ == 0
                           : Current.Value_ == Wanted.Value_ &&
                                 Current.ModRevision_ > Wanted.Expected_;
        if (Applied)
          Wanted.Done_(accepted(Wanted.Key_, Current.ModRevision_));
        else if (Current.ModRevision_ == Wanted.Expected_)
          Wanted.Done_(storeUnavailable());
        else
          Wanted.Done_(conflict(Current.ModRevision_));
      });
}

} // namespace crocuslead::app

#pragma once

#include "app/PartitionCalls.h"
#include "app/StoreSession.h"

#include <functional>
#include <optional>
#include <string>

namespace crocuslead::app {

//! Changes configuration keys by compare-and-swap. A change is validated
//! against the configuration that its transaction compares with, so that two
//! operators cannot both pass a check that their changes together fail. An
//! uncertain write is read back before it is answered.
class ConfigWriter {
public:
  using Callback = std::function<void(CallAnswer)>;

  explicit ConfigWriter(StoreSession &Session) : Session_(Session) {}

  //! Writes a key. Expected is the mod revision that the operator saw; without
  //! it the present one counts, so that only a change in between is a conflict.
  void put(const std::string &Key, const std::string &Value,
           std::optional<int64_t> Expected, const Callback &Done);
  void remove(const std::string &Key, std::optional<int64_t> Expected,
              const Callback &Done);
  //! Changes one failure domain within the key of all domains; Patch is
  //! {"region","state"}.
  void putDomain(const std::string &Name, const std::string &Patch,
                 std::optional<int64_t> Expected, const Callback &Done);

private:
  //! Value to write, made from the present one; an error ends the change.
  using MakeValue =
      std::function<base::Result<std::string>(const std::string &Current)>;

  struct Change {
    std::string Key_;
    MakeValue Make_;
    std::string Value_;
    bool Delete_ = false;
    //! Revision that the operator saw.
    std::optional<int64_t> Seen_;
    //! Revision of the key that Value_ was made for.
    int64_t Expected_ = 0;
    int Attempts_ = 0;
    Callback Done_;
  };

  //! Reads the whole configuration, then validates and writes.
  void attempt(Change Wanted);
  void checkAndWrite(Change Wanted, const store::RangeReply &Current);
  void write(const Change &Wanted, int64_t Version);
  //! Finds out what became of a change that was refused or whose answer was
  //! lost.
  void resolve(const Change &Wanted, bool Uncertain);

  StoreSession &Session_;
};

} // namespace crocuslead::app

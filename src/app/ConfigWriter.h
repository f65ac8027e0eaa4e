#pragma once

#include "app/PartitionCalls.h"
#include "app/StoreSession.h"

#include <functional>
#include <optional>
#include <string>

namespace crocuslead::app {

//! Changes configuration keys by compare-and-swap. A change is validated before
//! it is written, and an uncertain write is read back before it is answered.
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
  struct Change {
    std::string Key_;
    std::string Value_;
    bool Delete_ = false;
    int64_t Expected_ = 0;
    Callback Done_;
  };

  void readThen(const std::string &Key, const Callback &Done,
                std::function<void(const store::KeyValue &Current)> Next);
  void write(const Change &Wanted);
  void resolve(const Change &Wanted);

  StoreSession &Session_;
};

} // namespace crocuslead::app

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace crocuslead::base {

//! Collects log lines, so that many go out with one write. Writes only what a
//! descriptor takes without blocking; what it does not take waits, up to a
//! bound.
class LogBuffer {
public:
  LogBuffer(int Descriptor, std::size_t MaxBytes)
      : Descriptor_(Descriptor), MaxBytes_(MaxBytes) {}

  //! False when the line does not fit; nothing is kept of it then.
  bool append(std::string_view Line);
  //! Writes as much as is possible without blocking.
  void flush();
  std::size_t size() const { return Text_.size(); }

private:
  int Descriptor_;
  std::size_t MaxBytes_;
  std::string Text_;
};

} // namespace crocuslead::base

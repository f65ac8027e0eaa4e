#include "base/LogBuffer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace crocuslead::base {

bool LogBuffer::append(std::string_view Line) {
  if (Text_.size() + Line.size() > MaxBytes_)
    return false;
  Text_.append(Line);
  return true;
}

void LogBuffer::flush() {
  std::size_t Written = 0;
  while (Written < Text_.size()) {
    pollfd Out{Descriptor_, POLLOUT, 0};
    if (::poll(&Out, 1, 0) == 0)
      break;
    // A pipe that polls writable takes this much without blocking.
    std::size_t Size = std::min<std::size_t>(PIPE_BUF, Text_.size() - Written);
    ssize_t Taken = ::write(Descriptor_, Text_.data() + Written, Size);
    if (Taken <= 0)
      break;
    Written += static_cast<std::size_t>(Taken);
  }
  Text_.erase(0, Written);
}

} // namespace crocuslead::base

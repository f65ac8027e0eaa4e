#include "base/LogBuffer.h"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

namespace crocuslead::base {

namespace {

struct Pipe {
  std::array<int, 2> Ends_{};
  Pipe() { REQUIRE(::pipe2(Ends_.data(), O_NONBLOCK) == 0); }
  ~Pipe() {
    for (int End : Ends_)
      ::close(End);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    std::string Out;
    std::array<char, 4096> Part{};
    for (ssize_t Size = 0;
         (Size = ::read(Ends_[0], Part.data(), Part.size())) > 0;)
      Out.append(Part.data(), static_cast<std::size_t>(Size));
    return Out;
  }
};

} // namespace

TEST_CASE("Buffered lines go out whole and in order") {
  Pipe To;
  LogBuffer Buffer(To.Ends_[1], 100'000);
  std::string Expected;
  for (int I = 0; I < 1'000; ++I) {
    std::string Line = "line " + std::to_string(I) + "\n";
    REQUIRE(Buffer.append(Line));
    Expected += Line;
  }
  CHECK(To.read().empty());
  Buffer.flush();
  CHECK(To.read() == Expected);
  CHECK(Buffer.size() == 0);
}

// Guards against a reader of the log that stands still and stops the process,
// and against a buffer that grows meanwhile.
TEST_CASE("A full pipe keeps the lines back, up to the bound") {
  Pipe To;
  LogBuffer Buffer(To.Ends_[1], 1'000'000);
  std::string Line(999, 'x');
  Line += '\n';
  int Kept = 0;
  for (int I = 0; I < 2'000; ++I) {
    Kept += Buffer.append(Line) ? 1 : 0;
    Buffer.flush();
  }
  CHECK(Kept < 2'000);
  CHECK(Buffer.size() <= 1'000'000);
  std::size_t Read = 0;
  for (int I = 0; I < 100 && Buffer.size() > 0; ++I) {
    Read += To.read().size();
    Buffer.flush();
  }
  Read += To.read().size();
  CHECK(Read == static_cast<std::size_t>(Kept) * Line.size());
}

} // namespace crocuslead::base

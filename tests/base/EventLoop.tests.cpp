#include "base/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

namespace crocuslead::base::test {

TEST_CASE("An exception that escapes from a handler does not end the loop") {
  asio::io_context Loop;
  bool Ran = false;
  asio::post(Loop, [] { throw std::runtime_error("malformed message"); });
  asio::post(Loop, [&] { Ran = true; });
  runLoop(Loop);
  CHECK(Ran);
}

} // namespace crocuslead::base::test

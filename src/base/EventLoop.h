#pragma once

// Forward declaration keeps Asio out of widely included headers.
namespace asio {
class io_context;
}

namespace crocuslead::base {

//! Runs the loop until it is stopped or out of work. An exception that escapes
//! from a handler is logged as handler-failed and ends only that handler.
void runLoop(asio::io_context &Loop);

} // namespace crocuslead::base

#include "app/CommandLine.h"

#include <docopt/docopt.h>
#include <iostream>
#include <string>
#include <vector>

namespace crocuslead::app {

namespace {

constexpr const char *Usage =
    R"(crocuslead: places latency-critical and batch work together.

Usage:
  crocuslead --version
  crocuslead --help
)";

} // namespace

int runCommandLine(int Argc, char **Argv) {
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  docopt::docopt(Usage, Words, true, "crocuslead 0.1.0");
  return static_cast<int>(ExitCode::Success);
}

} // namespace crocuslead::app

#pragma once

namespace crocuslead::app {

//! Exit codes of the program.
enum class ExitCode : int {
  Success = 0,
  //! The call reached the system and was refused.
  Refused = 1,
  //! Wrong command line or invalid file.
  Usage = 2,
  //! The system could not be reached.
  Unreachable = 3,
};

//! A way to run an instance that is not part of this module.
struct ServeMode {
  //! Command word; the usage text names it.
  const char *Word_;
  int (*Run_)();
};

//! Runs the program; returns its exit code.
int runCommandLine(int Argc, char **Argv, const ServeMode &Entry);

} // namespace crocuslead::app

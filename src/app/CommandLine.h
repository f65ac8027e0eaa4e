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

//! Runs the program; returns its exit code.
int runCommandLine(int Argc, char **Argv);

} // namespace crocuslead::app

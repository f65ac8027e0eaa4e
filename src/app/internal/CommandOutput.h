#pragma once

#include "app/PartitionCalls.h"

#include <string>

namespace crocuslead::app {

//! Prints an answer as indented JSON, or its error as one line to standard
//! error. Returns the exit code.
int printAnswer(const CallAnswer &Answer);

//! Prints the settlement as a table.
int printSettlement(const std::string &Json);

} // namespace crocuslead::app

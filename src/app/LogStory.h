#pragma once

#include <istream>
#include <string>

namespace crocuslead::app {

//! The log lines of one job or task, of the workers that ran it and of changes
//! of the coordinator meanwhile, from the logs of any number of instances, in
//! the order of their time stamps. One line an event; text that is no log line
//! is skipped. Empty when nothing names the id.
std::string logStory(std::istream &Logs, const std::string &Id);

} // namespace crocuslead::app

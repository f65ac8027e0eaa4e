#pragma once

#include "base/Error.h"
#include "partition/Job.h"
#include "partition/Partition.h"

#include <string>
#include <vector>

namespace crocuslead::app {

//! Parses a job of the operator API; an error names the field and what is
//! allowed.
base::Result<partition::JobSpec> parseJob(const std::string &Json);
std::string writeJob(const partition::JobSpec &Job);

std::string writeJobView(const partition::JobView &View);
//! A JSON array of the views without their tasks.
std::string writeJobList(const std::vector<partition::JobView> &Views);
std::string writeDecisions(const std::vector<partition::DecisionRecord> &Log);
std::string writeUsage(const std::vector<partition::UsageRow> &Rows);
std::vector<partition::UsageRow> parseUsage(const std::string &Json);

} // namespace crocuslead::app

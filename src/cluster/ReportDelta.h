#pragma once

#include "cluster/WorkerGateway.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslead::cluster {

//! The last report that both sides of a worker channel may know. A reply can be
//! given as differences to it.
struct ReportBase {
  std::string Incarnation_;
  int64_t Epoch_ = 0;
  int64_t Sequence_ = 0;
  int64_t ClockMs_ = 0;
  std::vector<AttemptReport> Attempts_;

  //! Names this report in WorkerRequest::KnownReport_; never 0 for a report.
  uint32_t token() const;
};

//! Full reply, which has a report, as the base of later ones.
ReportBase makeReportBase(const WorkerReply &Reply, int64_t Epoch);

//! True when attempts came, went, or changed state or checkpoint since Base.
bool hasChanged(const ReportBase &Base, const std::vector<AttemptReport> &Now);

//! Worker side: replaces what the request's sender knows by differences to
//! Base, which the request named.
void packReply(WorkerReply &Reply, const ReportBase &Base);

//! Receiver side: restores a packed reply; false when it does not fit Base.
//! Without KnownReport_ in the request no reply is packed.
bool unpackReply(WorkerReply &Reply, const ReportBase &Base);

} // namespace crocuslead::cluster

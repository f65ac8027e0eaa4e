#include "jobs/WorkerPort.h"

#include "base/NameTable.h"

namespace crocuslead::jobs {

namespace {

constexpr auto StatusNames = base::makeNameTable<RequestStatus>(
    {{RequestStatus::Accepted, "accepted"},
     {RequestStatus::Fenced, "fenced"},
     {RequestStatus::StaleRun, "stale-run"},
     {RequestStatus::LeaseExpired, "lease-expired"},
     {RequestStatus::InsufficientCapacity, "insufficient-capacity"},
     {RequestStatus::Unhealthy, "unhealthy"},
     {RequestStatus::WrongIncarnation, "wrong-incarnation"},
     {RequestStatus::Invalid, "invalid"},
     {RequestStatus::Unknown, "no-answer"},
     {RequestStatus::NotSent, "not-sent"},
     {RequestStatus::Withheld, "withheld"}});

} // namespace

std::string_view requestStatusName(RequestStatus Status) {
  return StatusNames.name(Status);
}

} // namespace crocuslead::jobs

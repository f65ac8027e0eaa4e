#include "route/internal/RequestRecord.h"

#include "base/NameTable.h"
#include "chart/Chart.h"

namespace crocuslead::route {

namespace {

constexpr auto StateNames = base::makeNameTable<RequestState>({
    {RequestState::Queued, "queued"},
    {RequestState::InFlight, "in-flight"},
    {RequestState::Racing, "racing"},
    {RequestState::BackingOff, "backing-off"},
    {RequestState::Detached, "detached"},
    {RequestState::Delivered, "delivered"},
    {RequestState::Refused, "refused"},
    {RequestState::Cancelled, "cancelled"},
});

constexpr auto EventNames = base::makeNameTable<RequestEvent>({
    {RequestEvent::Send, "send"},
    {RequestEvent::Hedge, "hedge"},
    {RequestEvent::AttemptLost, "attempt-lost"},
    {RequestEvent::BackOff, "back-off"},
    {RequestEvent::RetryDue, "retry-due"},
    {RequestEvent::Answer, "answer"},
    {RequestEvent::Refuse, "refuse"},
    {RequestEvent::CallerLeft, "caller-left"},
    {RequestEvent::Detach, "detach"},
});

using RequestChart = chart::BoundChart<RequestState, RequestEvent>;

const RequestChart &requestChart() {
  static const RequestChart Chart("request", StateNames, EventNames);
  return Chart;
}

} // namespace

bool requestChartValid() { return requestChart().valid(); }

RequestState initialRequestState() { return requestChart().initial(); }

bool RequestRecord::on(RequestEvent Event) {
  auto Next = requestChart().next(State_, Event);
  if (!Next)
    return false;
  State_ = *Next;
  return true;
}

} // namespace crocuslead::route

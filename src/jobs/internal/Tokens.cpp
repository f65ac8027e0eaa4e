#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

// A poll that acknowledges results may be executed late, by the next
// incarnation of its worker, whose results have the same numbers: it would
// discard ends that nobody has read. Such a poll is sent only while all runs on
// the worker are located, so only later starts are in danger. They have a
// higher fencing token than the poll, which an incarnation that has taken one
// of them refuses. See docs/decisions/late-starts.md.

namespace crocuslead::jobs {

internal::LateAcknowledgement
Coordinator::Impl::lateAcknowledgement(const WorkerEntry &Worker) const {
  internal::LateAcknowledgement Out = Worker.LateAcknowledgement_;
  if (!Worker.isAcknowledging())
    return Out;
  base::TimePoint Until =
      Worker.PollSentAt_ + Settings_.Times_.MaxRequestDelay_;
  return {std::max(Out.Token_, Worker.PollToken_), std::max(Out.Until_, Until)};
}

void Coordinator::Impl::fenceAcknowledgements(WorkerEntry &Worker) {
  if (Worker.FencingToken_ > Worker.LateAcknowledgement_.Token_ ||
      Worker.FencingToken_ >= Settings_.Term_)
    return;
  ++Worker.FencingToken_;
  HighestToken_ = std::max(HighestToken_, Worker.FencingToken_);
}

bool Coordinator::Impl::mustAwaitAcknowledgement(
    const WorkerEntry &Worker) const {
  bool MayFence = Worker.FencingToken_ > Worker.LateAcknowledgement_.Token_ ||
                  Worker.FencingToken_ < Settings_.Term_;
  return !MayFence && now() < Worker.LateAcknowledgement_.Until_;
}

// A worker refuses what a later request of this term has overtaken, and a relay
// of an earlier version takes the highest token of any worker for a later term.
void Coordinator::Impl::onFenced(WorkerEntry &Worker, uint64_t Token,
                                 const char *SeenAt) {
  if (Token >= HighestToken_) {
    markSuperseded(SeenAt, Worker);
    return;
  }
  ++OvertakenRequests_;
  if (Token >= Worker.FencingToken_)
    Worker.FencingToken_ = HighestToken_;
}

} // namespace crocuslead::jobs

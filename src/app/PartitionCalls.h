#pragma once

#include "app/Context.h"
#include "app/PartitionHost.h"
#include "link/Messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::app {

//! Answer of an operator call, as HTTP status and JSON.
struct CallAnswer {
  int Status_ = 200;
  std::string Body_;
};

//! JSON answer for an error kind.
CallAnswer errorCallAnswer(base::ErrorKind Kind, const std::string &Message);

//! Calls about a partition, answered here when this instance owns it and by its
//! owner otherwise. All calls may be repeated, so an unanswered one is sent
//! again until it times out.
class PartitionCalls {
public:
  using Callback = std::function<void(CallAnswer)>;
  using SendToPeer =
      std::function<bool(const std::string &Peer, const link::Message &)>;
  //! Answers a call that is about an instance, not a partition.
  using InstanceCall = std::function<CallAnswer(const std::string &Operation,
                                                const std::string &Body)>;

  PartitionCalls(const Context &Shared, PartitionHost &Host, SendToPeer Send,
                 InstanceCall AnswerHere);

  //! Operations: submit, cancel, job, jobs, explain, usage.
  void call(const std::string &Partition, const std::string &Operation,
            const std::string &Body, Callback Done);
  //! Calls an instance by id.
  void callInstance(const std::string &Instance, const std::string &Operation,
                    const std::string &Body, Callback Done);
  //! Calls every partition; Done gets the answers by partition.
  void
  callAll(const std::string &Operation, const std::string &Body,
          const std::function<void(std::map<std::string, CallAnswer>)> &Done);

  void received(const std::string &Peer, const link::OperatorCall &Message);
  void received(const link::OperatorReply &Message);
  //! Repeats and ends calls; call about every 50 ms.
  void tick();

private:
  struct Pending {
    std::string Partition_;
    std::string Instance_;
    std::string Operation_;
    std::string Body_;
    Callback Done_;
    base::TimePoint Deadline_;
    base::TimePoint NextTry_;
  };

  void start(Pending Call);
  void tryCall(uint64_t Number);
  void finish(uint64_t Number, CallAnswer Answer);
  void answerHere(const std::string &Partition, const std::string &Operation,
                  const std::string &Body, const Callback &Done);

  const Context &Shared_;
  PartitionHost &Host_;
  SendToPeer Send_;
  InstanceCall AnswerHere_;
  std::map<uint64_t, Pending> Calls_;
  uint64_t NextCall_ = 1;
};

} // namespace crocuslead::app

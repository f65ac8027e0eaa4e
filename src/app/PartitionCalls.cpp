#include "app/PartitionCalls.h"

#include "app/JobJson.h"
#include "base/Log.h"

#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

constexpr auto CallTimeout = std::chrono::seconds(10);
constexpr auto RepeatAfter = std::chrono::milliseconds(1500);
constexpr auto RetryAfter = std::chrono::milliseconds(200);

CallAnswer answerOf(const partition::AnswerAction &Action) {
  if (Action.Error_)
    return errorCallAnswer(Action.Error_->Kind_, Action.Error_->Message_);
  return {200, nlohmann::json{{"job", Action.JobId_}}.dump()};
}

CallAnswer query(partition::Partition &Target, const std::string &Operation,
                 const std::string &Body) {
  if (Operation == "jobs")
    return {200, writeJobList(Target.jobs())};
  if (Operation == "usage")
    return {200, writeUsage(Target.usage())};
  if (Operation == "explain")
    return {200, writeDecisions(Target.explain(Body))};
  if (Operation == "job") {
    auto View = Target.job(Body);
    if (View)
      return {200, writeJobView(*View)};
    return errorCallAnswer(base::ErrorKind::NotFound, "no job '" + Body + "'");
  }
  return errorCallAnswer(base::ErrorKind::InvalidRequest,
                         "unknown operation '" + Operation + "'");
}

} // namespace

CallAnswer errorCallAnswer(base::ErrorKind Kind, const std::string &Message) {
  const base::ErrorInfo &Info = base::errorInfo(Kind);
  nlohmann::json Body = {{"error", std::string(Info.Name_)},
                         {"message", Message}};
  return {Info.HttpStatus_, Body.dump()};
}

PartitionCalls::PartitionCalls(const Context &Shared, PartitionHost &Host,
                               SendToPeer Send, InstanceCall AnswerHere)
    : Shared_(Shared), Host_(Host), Send_(std::move(Send)),
      AnswerHere_(std::move(AnswerHere)) {}

void PartitionCalls::call(const std::string &Partition,
                          const std::string &Operation, const std::string &Body,
                          Callback Done) {
  start({Partition, "", Operation, Body, std::move(Done), {}, {}});
}

void PartitionCalls::callInstance(const std::string &Instance,
                                  const std::string &Operation,
                                  const std::string &Body, Callback Done) {
  start({"", Instance, Operation, Body, std::move(Done), {}, {}});
}

void PartitionCalls::start(Pending Call) {
  uint64_t Number = NextCall_++;
  Call.Deadline_ = Shared_.Clock_.now() + CallTimeout;
  Calls_[Number] = std::move(Call);
  tryCall(Number);
}

void PartitionCalls::tryCall(uint64_t Number) {
  Pending &Call = Calls_[Number];
  base::TimePoint Now = Shared_.Clock_.now();
  std::string Owner =
      Call.Instance_.empty() ? Host_.ownerOf(Call.Partition_) : Call.Instance_;
  Call.NextTry_ = Now + RepeatAfter;
  if (Owner == Shared_.Settings_.InstanceId_) {
    // The answer may come later; a repetition while it is open would double
    // the work, not the effect.
    answerHere(Call.Partition_, Call.Operation_, Call.Body_,
               [this, Number](CallAnswer Answer) {
                 finish(Number, std::move(Answer));
               });
    return;
  }
  bool Sent = !Owner.empty() &&
              Send_(Owner, link::OperatorCall{Number, Call.Partition_,
                                              Call.Operation_, Call.Body_});
  if (!Sent)
    Call.NextTry_ = Now + RetryAfter;
}

void PartitionCalls::finish(uint64_t Number, CallAnswer Answer) {
  auto Found = Calls_.find(Number);
  if (Found == Calls_.end())
    return;
  const int NotOwner = base::errorInfo(base::ErrorKind::NotOwner).HttpStatus_;
  bool Moved = Answer.Status_ == NotOwner &&
               Answer.Body_.find("\"not-owner\"") != std::string::npos;
  if (Moved && Shared_.Clock_.now() < Found->second.Deadline_) {
    Found->second.NextTry_ = Shared_.Clock_.now() + RetryAfter;
    return;
  }
  Callback Done = std::move(Found->second.Done_);
  Calls_.erase(Found);
  Done(std::move(Answer));
}

void PartitionCalls::answerHere(const std::string &Partition,
                                const std::string &Operation,
                                const std::string &Body, const Callback &Done) {
  if (Partition.empty()) {
    Done(AnswerHere_(Operation, Body));
    return;
  }
  partition::Partition *Target = Host_.owned(Partition);
  if (Target == nullptr) {
    Done(errorCallAnswer(base::ErrorKind::NotOwner, "not the owner"));
    return;
  }
  auto Answer = [Done](const partition::AnswerAction &Action) {
    Done(answerOf(Action));
  };
  if (Operation == "cancel") {
    Host_.cancel(Partition, Body, Answer);
    return;
  }
  if (Operation != "submit") {
    Done(query(*Target, Operation, Body));
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Job, parseJob(Body));
        Host_.submit(Partition, Job, Answer);
        return {};
      },
      [&](const base::Error &Failure) {
        Done(errorCallAnswer(Failure.Kind_, Failure.Message_));
      },
      [&] { Done(errorCallAnswer(base::ErrorKind::Internal, "invalid job")); });
}

void PartitionCalls::callAll(
    const std::string &Operation, const std::string &Body,
    const std::function<void(std::map<std::string, CallAnswer>)> &Done) {
  struct Gathered {
    std::map<std::string, CallAnswer> Answers_;
    std::size_t Missing_ = 0;
  };
  auto Sum = std::make_shared<Gathered>();
  Sum->Missing_ = Host_.partitions().size();
  if (Sum->Missing_ == 0) {
    Done({});
    return;
  }
  for (const partition::PartitionInfo &Each : Host_.partitions())
    call(Each.Id_, Operation, Body,
         [Sum, Done, Id = Each.Id_](CallAnswer Answer) {
           Sum->Answers_[Id] = std::move(Answer);
           if (--Sum->Missing_ == 0)
             Done(std::move(Sum->Answers_));
         });
}

void PartitionCalls::received(const std::string &Peer,
                              const link::OperatorCall &Message) {
  answerHere(
      Message.Partition_, Message.Operation_, Message.Body_,
      [this, Peer, Call = Message.Call_](const CallAnswer &Answer) {
        Send_(Peer, link::OperatorReply{Call, Answer.Status_, Answer.Body_});
      });
}

void PartitionCalls::received(const link::OperatorReply &Message) {
  finish(Message.Call_, {Message.HttpStatus_, Message.Body_});
}

void PartitionCalls::tick() {
  base::TimePoint Now = Shared_.Clock_.now();
  std::vector<uint64_t> Due;
  std::vector<uint64_t> Late;
  for (const auto &[Number, Call] : Calls_) {
    if (Now >= Call.Deadline_)
      Late.push_back(Number);
    else if (Now >= Call.NextTry_)
      Due.push_back(Number);
  }
  for (uint64_t Number : Late)
    finish(Number, errorCallAnswer(base::ErrorKind::NotOwner,
                                   "no owner answered in time"));
  for (uint64_t Number : Due)
    if (Calls_.count(Number) != 0)
      tryCall(Number);
}

} // namespace crocuslead::app

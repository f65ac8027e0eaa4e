#pragma once

#include "partition/Partition.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::bench {

//! One partition with a store and workers that answer within one step, on a
//! clock that the rig moves.
class PartitionRig {
public:
  struct Attempt {
    cluster::AttemptReport Report_;
    int64_t EndMs_ = 0;
    int64_t StopMs_ = 0;
  };
  struct Worker {
    std::string Id_;
    int64_t Sequence_ = 0;
    std::map<std::string, Attempt> Attempts_;
  };

  explicit PartitionRig(int Workers);

  void submit(const std::string &Id, int64_t RunMs, bool Urgent,
              uint32_t Tasks = 1);
  //! Moves the clock by 50 ms.
  void step();
  //! A new owner on the stored keys.
  std::vector<store::KeyValue> stored() const;
  partition::PartitionSettings settings() const;
  void setDomain(config::DomainState State);
  void configure(partition::Partition &Of) const;
  base::TimePoint now() const;
  base::WallTime wall() const;

  partition::Partition Partition_;
  std::map<std::string, store::KeyValue> Data_;
  int64_t Revision_ = 100;
  int64_t NowMs_ = 1'000'000;
  std::map<std::string, Worker> Workers_;
  uint64_t Writes_ = 0;
  uint64_t Reads_ = 0;
  uint64_t WrittenBytes_ = 0;
  uint64_t Starts_ = 0;
  uint64_t Finished_ = 0;
  double WorkMillis_ = 0;
  double CpuSeconds_ = 0;
  //! Requests and replies of the last renewal that carried no command.
  cluster::WorkerRequest LastRequest_;
  cluster::WorkerReply LastReply_;
  std::map<std::string, int64_t> SubmittedMs_;
  std::vector<double> UrgentDelaysMs_;

private:
  void perform(const partition::Action &Value);
  void commit(const partition::CommitAction &Commit);
  void answer(const partition::WorkerAction &Message);
  void run(Worker &Of, const cluster::WorkerCommand &Command);

  config::DomainState Domain_ = config::DomainState::InService;
  std::deque<partition::Action> Actions_;
};

} // namespace crocuslead::bench

#pragma once

#include "app/PartitionHost.h"

namespace crocuslead::app {

//! One epoch of a partition that this instance owns.
struct PartitionHost::Hosted {
  Hosted(std::string Id, int64_t Epoch,
         const partition::PartitionSettings &Settings)
      : Id_(std::move(Id)), Epoch_(Epoch), Partition_(Settings) {}

  std::string Id_;
  int64_t Epoch_;
  partition::Partition Partition_;
  std::map<uint64_t, AnswerCallback> Calls_;
  bool Yielding_ = false;
  bool ClaimsSent_ = false;
  bool YieldSent_ = false;
};

//! Performs the actions of one epoch. Results that arrive after the epoch has
//! ended are dropped.
struct PartitionHost::ActionPerformer {
  PartitionHost &Host_;
  const std::string &Id_;
  int64_t Epoch_;

  void operator()(partition::CommitAction &Action) const;
  void operator()(partition::ReadBackAction &Action) const;
  void operator()(partition::WorkerAction &Action) const;
  void operator()(partition::AnswerAction &Action) const;
  void operator()(partition::TransferAction &Action) const;
  void operator()(partition::TransferAckAction &Action) const;
  void operator()(partition::FencedAction &Action) const;
  void operator()(partition::RefreshConfigAction &Action) const;
};

partition::PartitionSettings
makePartitionSettings(const config::Settings &Settings, const std::string &Id,
                      int64_t Epoch, int64_t PriorEpoch);

} // namespace crocuslead::app

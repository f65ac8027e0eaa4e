#pragma once

#include "Parts.h"
#include "app/ClaimService.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::tests {

//! Instances with claim services on one partition, joined by a message switch.
struct ClaimWorld {
  struct Node {
    std::unique_ptr<app::ClaimService> Claims_;
    //! Owner as this instance sees it.
    std::string Owner_;
  };
  struct Packet {
    std::string From_;
    std::string To_;
    link::Message Body_;
  };

  explicit ClaimWorld(std::vector<std::string> Names, uint64_t Seed = 7)
      : Random_(Seed) {
    for (const std::string &Name : Names) {
      Settings_[Name].InstanceId_ = Name;
      start(Name);
    }
    acquire(Names.front());
    Clock_.advance(std::chrono::seconds(10));
  }

  //! Starts an instance, or replaces its process: what was in memory is lost.
  void start(const std::string &Name) {
    if (Owner_ == Name)
      Owner_.clear();
    Contexts_[Name].reset(new app::Context{Loop_, Clock_, Settings_[Name],
                                           Random_, "incarnation"});
    app::ClaimHooks Hooks{
        [this, Name](const std::string &Peer, const link::Message &Body) {
          if (Sendable_ == 0)
            return false;
          --Sendable_;
          Queue_.push_back({Name, Peer, Body});
          return true;
        },
        [this, Name](const std::string &) { return Nodes_[Name].Owner_; },
        [this, Name] { return Owner_ == Name; }};
    Nodes_[Name].Claims_ =
        std::make_unique<app::ClaimService>(*Contexts_[Name], std::move(Hooks));
    Nodes_[Name].Claims_->setPartitions({{"d-0", "d", "r"}});
  }

  //! Name becomes the owner in a new epoch and is seen as such everywhere.
  void acquire(const std::string &Name) {
    int64_t Prior = Epoch_++;
    Owner_ = Name;
    at(Name).partitionAcquired("d-0", Prior);
    for (auto &[Each, Node] : Nodes_)
      Node.Owner_ = Name;
  }

  void handOver(const std::string &To) {
    std::string From = Owner_;
    at(From).handOver("d-0", Epoch_, To);
    Owner_.clear();
  }

  app::ClaimService &at(const std::string &Name) {
    return *Nodes_[Name].Claims_;
  }

  void deliver() {
    Packet Next = std::move(Queue_.front());
    Queue_.pop_front();
    app::ClaimService &To = at(Next.To_);
    if (auto *Request = std::get_if<link::ClaimRequest>(&Next.Body_))
      To.received(Next.From_, *Request);
    else if (auto *Answer = std::get_if<link::ClaimAnswer>(&Next.Body_))
      To.received(Next.From_, *Answer);
    else if (auto *Done = std::get_if<link::ClaimDone>(&Next.Body_))
      To.received(Next.From_, *Done);
    else if (auto *Table = std::get_if<link::ClaimTransfer>(&Next.Body_))
      To.received(Next.From_, *Table);
  }
  void deliverAll() {
    while (!Queue_.empty())
      deliver();
  }
  void lose() { Queue_.pop_front(); }

  //! Time passes in steps of 50 ms, with ticks and all messages delivered.
  void run(base::Duration Length) {
    for (base::Duration Passed{}; Passed < Length;
         Passed += std::chrono::milliseconds(50)) {
      Clock_.advance(std::chrono::milliseconds(50));
      tick();
      deliverAll();
    }
  }
  void tick() {
    for (auto &[Name, Node] : Nodes_)
      Node.Claims_->tick();
  }

  std::string key() { return makeKey(Clock_.wallNow(), ++KeysMade_); }
  //! Claims and notes the verdict in Verdicts_.
  void claim(const std::string &Name, const std::string &Key) {
    at(Name).claim(Key, 1, [this, Key, Name](const route::ClaimReply &Reply) {
      Verdicts_.push_back(Reply.Verdict_);
      if (Reply.Verdict_ != route::ClaimVerdict::Granted)
        return;
      ++Grants_[Key];
      Running_.emplace_back(Name, Key);
    });
  }
  route::ClaimVerdict claimNow(const std::string &Name,
                               const std::string &Key) {
    std::size_t Before = Verdicts_.size();
    claim(Name, Key);
    run(std::chrono::milliseconds(2500));
    return Verdicts_.size() > Before ? Verdicts_.back()
                                     : route::ClaimVerdict::InProgress;
  }

  asio::io_context Loop_;
  base::ManualClock Clock_;
  base::Random Random_;
  std::map<std::string, config::Settings> Settings_;
  std::map<std::string, std::unique_ptr<app::Context>> Contexts_;
  std::map<std::string, Node> Nodes_;
  std::deque<Packet> Queue_;
  //! Messages that the link still takes.
  std::size_t Sendable_ = SIZE_MAX;
  std::string Owner_;
  int64_t Epoch_ = 1;
  unsigned KeysMade_ = 0;
  std::vector<route::ClaimVerdict> Verdicts_;
  std::map<std::string, int> Grants_;
  std::vector<std::pair<std::string, std::string>> Running_;
};

} // namespace crocuslead::tests

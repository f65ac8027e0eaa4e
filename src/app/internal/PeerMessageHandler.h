#pragma once

#include "app/Instance.h"

namespace crocuslead::app {

//! Hands each message of a peer to the part that it is for.
struct PeerMessageHandler {
  Instance &Target_;
  const std::string &Peer_;

  //! Pings and pongs are answered before the dispatch.
  void operator()(const link::Ping &) const {}
  void operator()(const link::Pong &) const {}

  void operator()(const link::ConfigPull &Message) const;
  void operator()(const link::ConfigPush &Message) const;
  void operator()(const link::LoadSummary &Message) const;
  void operator()(const link::ClaimRequest &Message) const;
  void operator()(const link::ClaimAnswer &Message) const;
  void operator()(const link::ClaimDone &Message) const;
  void operator()(const link::ClaimTransfer &Message) const;
  void operator()(const link::AnswerFetch &Message) const;
  void operator()(const link::AnswerFetchReply &Message) const;
  void operator()(const link::OperatorCall &Message) const;
  void operator()(const link::OperatorReply &Message) const;
  void operator()(const link::TransferOffer &Message) const;
  void operator()(const link::TransferAccept &Message) const;
  void operator()(const link::SlotLend &Message) const;
};

} // namespace crocuslead::app

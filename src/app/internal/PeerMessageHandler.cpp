#include "app/internal/PeerMessageHandler.h"

namespace crocuslead::app {

void PeerMessageHandler::operator()(const link::ConfigPull &Message) const {
  link::ConfigPush Reply;
  for (config::VersionedEntry &Entry :
       Target_.Session_.config().changedSince(Message.KnownRevision_))
    Reply.Entries_.push_back({std::move(Entry.Key_), std::move(Entry.Value_),
                              Entry.ModRevision_, Entry.Deleted_});
  if (!Reply.Entries_.empty())
    Target_.Peers_.send(Peer_, Reply);
}

void PeerMessageHandler::operator()(const link::ConfigPush &Message) const {
  std::vector<config::VersionedEntry> Entries;
  for (const link::ConfigEntry &Entry : Message.Entries_)
    Entries.push_back(
        {Entry.Key_, Entry.Value_, Entry.ModRevision_, Entry.Deleted_});
  Target_.Session_.applyPeerConfig(Entries);
}

void PeerMessageHandler::operator()(const link::LoadSummary &Message) const {
  Target_.Host_.setPeerLoad(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::ClaimRequest &Message) const {
  Target_.Claims_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::ClaimAnswer &Message) const {
  Target_.Claims_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::ClaimDone &Message) const {
  Target_.Claims_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::ClaimTransfer &Message) const {
  Target_.Claims_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::AnswerFetch &Message) const {
  link::AnswerFetchReply Reply;
  Reply.Call_ = Message.Call_;
  if (const http::Response *Kept = Target_.Requests_.keptAnswer(Message.Key_)) {
    Reply.Found_ = true;
    Reply.HttpStatus_ = Kept->Status_;
    Reply.Body_ = Kept->Body_;
    if (const std::string *Type =
            http::findHeader(Kept->Headers_, "Content-Type"))
      Reply.ContentType_ = *Type;
  }
  Target_.Peers_.send(Peer_, Reply);
}

void PeerMessageHandler::operator()(
    const link::AnswerFetchReply &Message) const {
  auto Found = Target_.AnswerCalls_.find(Message.Call_);
  if (Found == Target_.AnswerCalls_.end())
    return;
  auto Done = std::move(Found->second.Done_);
  Target_.AnswerCalls_.erase(Found);
  if (!Message.Found_) {
    Done(nullptr);
    return;
  }
  http::Response Kept{Message.HttpStatus_, {}, Message.Body_};
  if (!Message.ContentType_.empty())
    Kept.Headers_.emplace_back("Content-Type", Message.ContentType_);
  Done(&Kept);
}

void PeerMessageHandler::operator()(const link::OperatorCall &Message) const {
  Target_.Calls_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::OperatorReply &Message) const {
  Target_.Calls_.received(Message);
}

void PeerMessageHandler::operator()(const link::TransferOffer &Message) const {
  Target_.Host_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::TransferAccept &Message) const {
  Target_.Host_.received(Peer_, Message);
}

void PeerMessageHandler::operator()(const link::SlotLend &Message) const {
  Target_.Requests_.router().borrowSlots(
      Message.Upstream_, static_cast<int>(Message.Count_),
      Target_.Shared_.Clock_.now() +
          std::chrono::milliseconds(Message.TermMs_));
}

} // namespace crocuslead::app

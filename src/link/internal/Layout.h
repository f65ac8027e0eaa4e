#pragma once

#include "link/Messages.h"

#include <cstddef>
#include <tuple>

namespace crocuslead::link::internal {

//! Bytes of a frame, also the most that a text field can hold.
inline constexpr std::size_t MaxFrameBytes = 1U << 20U;
//! Names, keys and ids are shorter than this.
inline constexpr std::size_t MaxNameBytes = 512;
inline constexpr std::size_t MaxListItems = 65'536;

//! One field of a message: its number on the wire and its member.
template <typename Record, typename Member> struct Field {
  int Number_;
  Member Record::*Member_;
  //! Largest length of a string.
  std::size_t MaxBytes_;
};

template <typename Record, typename Member>
constexpr Field<Record, Member> field(int Number, Member Record::*Target,
                                      std::size_t MaxBytes = MaxNameBytes) {
  return {Number, Target, MaxBytes};
}

//! Number of a message and its fields. Numbers are never reused: instances of
//! two versions talk to each other during an upgrade.
template <typename Record> struct Layout;

//! First frames of a connection.
struct Hello {
  std::string Id_;
  std::string Incarnation_;
  uint32_t Version_ = 0;
  std::string Nonce_;
};
struct HelloProof {
  std::string Mac_;
};

template <> struct Layout<Hello> {
  static constexpr int Number = 1;
  static constexpr auto Fields =
      std::make_tuple(field(1, &Hello::Id_), field(2, &Hello::Incarnation_),
                      field(3, &Hello::Version_), field(4, &Hello::Nonce_));
};
template <> struct Layout<HelloProof> {
  static constexpr int Number = 2;
  static constexpr auto Fields = std::make_tuple(field(1, &HelloProof::Mac_));
};
template <> struct Layout<Ping> {
  static constexpr int Number = 10;
  static constexpr auto Fields = std::make_tuple(
      field(1, &Ping::Sequence_), field(2, &Ping::ConfigRevision_),
      field(3, &Ping::StoreContactAgeMs_), field(4, &Ping::Draining_),
      field(5, &Ping::SlotDemand_));
};
template <> struct Layout<Pong> {
  static constexpr int Number = 11;
  static constexpr auto Fields = std::make_tuple(
      field(1, &Pong::Sequence_), field(2, &Pong::ConfigRevision_),
      field(3, &Pong::StoreContactAgeMs_), field(4, &Pong::Draining_),
      field(5, &Pong::SlotDemand_));
};
template <> struct Layout<ConfigPull> {
  static constexpr int Number = 12;
  static constexpr auto Fields =
      std::make_tuple(field(1, &ConfigPull::KnownRevision_));
};
template <> struct Layout<ConfigEntry> {
  static constexpr auto Fields = std::make_tuple(
      field(1, &ConfigEntry::Key_),
      field(2, &ConfigEntry::Value_, MaxFrameBytes),
      field(3, &ConfigEntry::ModRevision_), field(4, &ConfigEntry::Deleted_));
};
template <> struct Layout<ConfigPush> {
  static constexpr int Number = 13;
  static constexpr auto Fields =
      std::make_tuple(field(1, &ConfigPush::Entries_));
};
template <> struct Layout<WorkspaceUse> {
  static constexpr auto Fields = std::make_tuple(
      field(1, &WorkspaceUse::Workspace_), field(2, &WorkspaceUse::MilliCpu_),
      field(3, &WorkspaceUse::MemoryMb_),
      field(4, &WorkspaceUse::Accelerators_));
};
template <> struct Layout<PartitionLoad> {
  static constexpr auto Fields = std::make_tuple(
      field(1, &PartitionLoad::Partition_),
      field(2, &PartitionLoad::FreeMilliCpu_),
      field(3, &PartitionLoad::FreeMemoryMb_),
      field(4, &PartitionLoad::FreeAccelerators_),
      field(5, &PartitionLoad::CapacityMilliCpu_),
      field(6, &PartitionLoad::CapacityMemoryMb_),
      field(7, &PartitionLoad::CapacityAccelerators_),
      field(8, &PartitionLoad::PendingUrgent_),
      field(9, &PartitionLoad::Pending_), field(10, &PartitionLoad::Use_));
};
template <> struct Layout<LoadSummary> {
  static constexpr int Number = 14;
  static constexpr auto Fields =
      std::make_tuple(field(1, &LoadSummary::Partitions_));
};
template <> struct Layout<ClaimRequest> {
  static constexpr int Number = 15;
  static constexpr auto Fields = std::make_tuple(
      field(1, &ClaimRequest::Call_), field(2, &ClaimRequest::Partition_),
      field(3, &ClaimRequest::Key_), field(4, &ClaimRequest::Fingerprint_));
};
template <> struct Layout<ClaimAnswer> {
  static constexpr int Number = 16;
  static constexpr auto Fields = std::make_tuple(
      field(1, &ClaimAnswer::Call_), field(2, &ClaimAnswer::Verdict_),
      field(3, &ClaimAnswer::Executor_));
};
template <> struct Layout<ClaimDone> {
  static constexpr int Number = 17;
  static constexpr auto Fields =
      std::make_tuple(field(1, &ClaimDone::Partition_),
                      field(2, &ClaimDone::Key_), field(3, &ClaimDone::End_));
};
template <> struct Layout<ClaimRow> {
  static constexpr auto Fields = std::make_tuple(
      field(1, &ClaimRow::Key_), field(2, &ClaimRow::Fingerprint_),
      field(3, &ClaimRow::Executor_), field(4, &ClaimRow::IssuedMs_),
      field(5, &ClaimRow::End_));
};
template <> struct Layout<ClaimTransfer> {
  static constexpr int Number = 18;
  static constexpr auto Fields = std::make_tuple(
      field(1, &ClaimTransfer::Partition_),
      field(2, &ClaimTransfer::FormerEpoch_),
      field(3, &ClaimTransfer::KnownSinceMs_), field(4, &ClaimTransfer::Rows_),
      field(5, &ClaimTransfer::Last_), field(6, &ClaimTransfer::FirstRow_));
};
template <> struct Layout<AnswerFetch> {
  static constexpr int Number = 19;
  static constexpr auto Fields = std::make_tuple(field(1, &AnswerFetch::Call_),
                                                 field(2, &AnswerFetch::Key_));
};
template <> struct Layout<AnswerFetchReply> {
  static constexpr int Number = 20;
  static constexpr auto Fields = std::make_tuple(
      field(1, &AnswerFetchReply::Call_), field(2, &AnswerFetchReply::Found_),
      field(3, &AnswerFetchReply::HttpStatus_),
      field(4, &AnswerFetchReply::ContentType_),
      field(5, &AnswerFetchReply::Body_, MaxFrameBytes));
};
template <> struct Layout<OperatorCall> {
  static constexpr int Number = 21;
  static constexpr auto Fields = std::make_tuple(
      field(1, &OperatorCall::Call_), field(2, &OperatorCall::Partition_),
      field(3, &OperatorCall::Operation_),
      field(4, &OperatorCall::Body_, MaxFrameBytes));
};
template <> struct Layout<OperatorReply> {
  static constexpr int Number = 22;
  static constexpr auto Fields = std::make_tuple(
      field(1, &OperatorReply::Call_), field(2, &OperatorReply::HttpStatus_),
      field(3, &OperatorReply::Body_, MaxFrameBytes));
};
template <> struct Layout<TransferOffer> {
  static constexpr int Number = 23;
  static constexpr auto Fields = std::make_tuple(
      field(1, &TransferOffer::FromPartition_),
      field(2, &TransferOffer::ToPartition_), field(3, &TransferOffer::JobId_),
      field(4, &TransferOffer::Number_),
      field(5, &TransferOffer::Record_, MaxFrameBytes));
};
template <> struct Layout<TransferAccept> {
  static constexpr int Number = 24;
  static constexpr auto Fields = std::make_tuple(
      field(1, &TransferAccept::FromPartition_),
      field(2, &TransferAccept::JobId_), field(3, &TransferAccept::Number_));
};
template <> struct Layout<SlotLend> {
  static constexpr int Number = 25;
  static constexpr auto Fields = std::make_tuple(field(1, &SlotLend::Upstream_),
                                                 field(2, &SlotLend::Count_),
                                                 field(3, &SlotLend::TermMs_));
};

} // namespace crocuslead::link::internal

#pragma once

#include "partition/internal/State.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::partition {

//! A decoded journal batch: the value of one journal key.
struct Batch {
  //! Random number by which a writer recognises its own batch on read-back.
  uint64_t Nonce_ = 0;
  std::vector<JournalEntry> Entries_;
};

//! What an owner that hands over tells the next one: no lease was granted after
//! the record was written.
struct LeaseHandover {
  int64_t Epoch_ = 0;
  //! By worker id: the rest of its last lease.
  std::map<std::string, base::Duration> LeaseLeft_;
};

//! Encode and decode a job record as CBOR. Decoding returns nothing when the
//! value is malformed.
std::string encodeJob(const JobRecord &Job);
std::optional<JobRecord> decodeJob(const std::string &Bytes);

//! Encodes one entry as CBOR. A batch consists of the nonce followed by the
//! encoded entries, so that each entry is encoded only once, when it is staged.
std::string encodeEntry(const JournalEntry &Value);
std::string encodeBatch(uint64_t Nonce,
                        const std::vector<std::string> &Entries);
//! Returns nothing when the value is malformed.
std::optional<Batch> decodeBatch(const std::string &Bytes);

//! NextBatchNumber is the number of the first journal batch that the snapshot
//! does not include.
std::string encodeSnapshot(const DurableState &Value, uint64_t NextBatchNumber);
//! Returns false when the snapshot is malformed.
bool decodeSnapshot(const std::string &Bytes, DurableState &Value,
                    uint64_t &NextBatchNumber);

std::string encodeHandover(const LeaseHandover &Value);
//! Returns nothing when the value is malformed. Leaves out rests out of range.
std::optional<LeaseHandover> decodeHandover(const std::string &Bytes);

} // namespace crocuslead::partition

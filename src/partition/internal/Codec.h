#pragma once

#include "partition/internal/State.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuslead::partition {

//! A decoded journal value.
struct Batch {
  uint64_t Nonce_ = 0;
  std::vector<JournalEntry> Entries_;
};

//! CBOR of durable values. Decoding gives none for a value that is malformed.
std::string encodeJob(const JobRecord &Job);
std::optional<JobRecord> decodeJob(const std::string &Bytes);

//! CBOR of one entry; a batch is the nonce followed by entries, so that entries
//! are encoded once, when they are staged.
std::string encodeEntry(const JournalEntry &Value);
std::string encodeBatch(uint64_t Nonce,
                        const std::vector<std::string> &Entries);
std::optional<Batch> decodeBatch(const std::string &Bytes);

//! NextJournal is the first journal number that the snapshot does not cover.
std::string encodeSnapshot(const DurableState &Value, uint64_t NextJournal);
bool decodeSnapshot(const std::string &Bytes, DurableState &Value,
                    uint64_t &NextJournal);

} // namespace crocuslead::partition

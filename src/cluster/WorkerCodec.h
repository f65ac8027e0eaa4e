#pragma once

#include "base/Error.h"
#include "cluster/WorkerGateway.h"

#include <string>
#include <string_view>

namespace crocuslead::cluster {

// Messages between instances and workers: CBOR maps with integer field numbers.
// Fields with their default value are left out; unknown fields are skipped, so
// that either side may be newer. Both directions are here for workers that are
// written in this code base.

//! Worker_ and Address_ name the receiver and are not part of the message.
std::string encodeRequest(const WorkerRequest &Request);
//! Fails with InvalidRequest on anything that is not a whole, well-formed
//! message.
base::Result<WorkerRequest> decodeRequest(std::string_view Body);

std::string encodeReply(const WorkerReply &Reply);
base::Result<WorkerReply> decodeReply(std::string_view Body);

std::string_view commandKindName(CommandKind Kind);
std::string_view attemptStateName(AttemptState State);
std::string_view commandStatusName(CommandStatus Status);

} // namespace crocuslead::cluster

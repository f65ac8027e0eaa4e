#pragma once

#include "app/PartitionCalls.h"
#include "http/Server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace crocuslead::app {

void sendJson(const std::shared_ptr<http::Responder> &Out, CallAnswer Answer);

//! Path and query of a request target.
std::pair<std::string, std::string> splitQuery(const std::string &Target);
//! Replaces %XX escapes; malformed ones stay as they are.
std::string decodePercent(const std::string &Text);
//! Value of a query parameter; empty when absent.
std::string queryValue(const std::string &Query, const std::string &Name);
//! The `revision` parameter.
std::optional<int64_t> expectedRevision(const std::string &Query);

//! Compares without a time difference that depends on the content.
bool equalSecrets(const std::string &Given, const std::string &Expected);

//! The object with its name set to that of the path; text that is no object is
//! left as it is.
std::string withName(const std::string &Json, const std::string &Name);

//! True for "<instance>.<process>.<number>".
bool isRequestId(const std::string &Text);

//! Joins the rows of all partitions, ordered by a field; partitions that did
//! not answer are named.
CallAnswer mergeRows(const std::map<std::string, CallAnswer> &Answers,
                     const std::string &OrderBy);

//! Settlement table from the partitions' usage rows: granted against used for
//! each workspace.
CallAnswer settle(const std::map<std::string, CallAnswer> &Answers,
                  const std::string &Period);

} // namespace crocuslead::app

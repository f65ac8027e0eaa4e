#pragma once

#include "base/Error.h"
#include "http/Client.h"

namespace crocuslead::cluster::internal {

//! Error of an exchange that brought no complete answer.
base::Error exchangeError(const http::ExchangeResult &Result);

} // namespace crocuslead::cluster::internal
